package io.cuminvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * Creates the JSON mappers of the project: identifiers and addresses are plain strings, input is
 * bounded and duplicate fields are refused.
 *
 * @since 0.1
 */
public final class JsonMappers {

  private static final int MAX_NESTING = 32;
  private static final int MAX_STRING_CHARS = 1 << 20;
  private static final long MAX_DOCUMENT_BYTES = 8L << 20;

  private JsonMappers() {}

  /**
   * Creates a mapper that refuses unknown fields, for files and published documents.
   *
   * @return a new mapper, safe for use by several threads
   */
  public static JsonMapper strict() {
    return builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  }

  /**
   * Creates a mapper that ignores unknown fields, for answers of processes of a newer version.
   *
   * @return a new mapper, safe for use by several threads
   */
  public static JsonMapper lenient() {
    return builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  }

  private static JsonMapper.Builder builder() {
    StreamReadConstraints limits =
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING)
            .maxStringLength(MAX_STRING_CHARS)
            .maxDocumentLength(MAX_DOCUMENT_BYTES)
            .build();
    JsonFactory factory = JsonFactory.builder().streamReadConstraints(limits).build();
    return JsonMapper.builder(factory)
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
        .addModule(valueTypes());
  }

  private static SimpleModule valueTypes() {
    SimpleModule module = new SimpleModule("cuminvalve-value-types");
    addText(module, CellId.class, CellId::new, CellId::value);
    addText(module, ControllerId.class, ControllerId::new, ControllerId::value);
    addText(module, DataCentreId.class, DataCentreId::new, DataCentreId::value);
    addText(module, PublicationId.class, PublicationId::new, PublicationId::value);
    addText(module, RequestId.class, RequestId::new, RequestId::value);
    addText(module, RouterId.class, RouterId::new, RouterId::value);
    addText(module, RuleId.class, RuleId::new, RuleId::value);
    addText(module, ServiceId.class, ServiceId::new, ServiceId::value);
    addText(module, TargetId.class, TargetId::new, TargetId::value);
    addText(module, TenantId.class, TenantId::new, TenantId::value);
    addText(module, InetSocketAddress.class, IpAddresses::parse, IpAddresses::format);
    return module;
  }

  private static <T> void addText(
      SimpleModule module,
      Class<T> type,
      Function<String, T> fromText,
      Function<T, String> toText) {
    module.addDeserializer(type, new TextDeserializer<>(type, fromText));
    module.addSerializer(type, new TextSerializer<>(type, toText));
  }

  private static final class TextDeserializer<T> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;

    private final transient Function<String, T> fromText;

    TextDeserializer(Class<T> type, Function<String, T> fromText) {
      super(type);
      this.fromText = fromText;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      return fromText.apply(parser.getText());
    }
  }

  private static final class TextSerializer<T> extends StdSerializer<T> {

    private static final long serialVersionUID = 1L;

    private final transient Function<T, String> toText;

    TextSerializer(Class<T> type, Function<T, String> toText) {
      super(type);
      this.toText = toText;
    }

    @Override
    public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeString(toText.apply(value));
    }
  }
}
