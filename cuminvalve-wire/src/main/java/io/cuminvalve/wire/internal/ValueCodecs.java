package io.cuminvalve.wire.internal;

import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessagePacker;

/**
 * Provides the codecs of all types that a message may contain.
 *
 * @since 0.1
 */
public final class ValueCodecs {

  private final Map<Type, ValueCodec> codecs = new ConcurrentHashMap<>();

  /** Creates a registry with the codecs for numbers, booleans, strings and primitive arrays. */
  public ValueCodecs() {
    codecs.putAll(ScalarCodecs.all());
    codecs.putAll(ArrayCodecs.all());
  }

  /**
   * Returns the codec of a type, which is created if necessary.
   *
   * @param type a record, enum, list, shard table, number, boolean, string or primitive array; not
   *     null
   * @return never null
   * @throws CodedException with code INTERNAL if the type is not supported
   */
  public ValueCodec forType(Type type) {
    ValueCodec known = codecs.get(type);
    if (known != null) {
      return known;
    }
    ValueCodec created = create(type);
    codecs.put(type, created);
    return created;
  }

  private ValueCodec create(Type type) {
    if (type == ShardTable.class) {
      return new ShardTableCodec(this);
    }
    if (type instanceof ParameterizedType generic && generic.getRawType() == List.class) {
      return new ListCodec(forType(generic.getActualTypeArguments()[0]));
    }
    if (type instanceof Class<?> plain && plain.isEnum()) {
      return new EnumCodec(plain);
    }
    if (type instanceof Class<?> plain && plain.isRecord()) {
      return RecordValueCodec.create(plain, this);
    }
    throw new CodedException(ErrorCode.INTERNAL, "type not supported in messages: " + type);
  }

  /** Encodes lists as arrays. */
  private record ListCodec(ValueCodec element) implements ValueCodec {

    @Override
    public void write(MessagePacker packer, Object value) throws IOException {
      List<?> list = (List<?>) value;
      packer.packArrayHeader(list.size());
      for (Object item : list) {
        element.write(packer, item);
      }
    }

    @Override
    public Object read(ValueReader reader) throws IOException {
      int size = reader.readArrayHeader();
      List<Object> list = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        list.add(element.read(reader));
      }
      return List.copyOf(list);
    }

    @Override
    public Object missing() {
      return List.of();
    }
  }

  /** Encodes enum constants by name. */
  private record EnumCodec(Class<?> type) implements ValueCodec {

    @Override
    public void write(MessagePacker packer, Object value) throws IOException {
      packer.packString(((Enum<?>) value).name());
    }

    @Override
    public Object read(ValueReader reader) throws IOException {
      String name = reader.readString();
      for (Object constant : type.getEnumConstants()) {
        if (((Enum<?>) constant).name().equals(name)) {
          return constant;
        }
      }
      throw new CodedException(ErrorCode.PROTOCOL, "unknown constant of " + type.getSimpleName());
    }
  }
}
