package io.cuminvalve.config.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.util.List;

/**
 * Turns a configuration into the JSON document stored under key {@code config}, and back.
 *
 * <p>The revision is not part of the document: it is the revision that the store gave to the write.
 * Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationCodec {

  /** The key of the document in the store. */
  public static final String STORE_KEY = "config";

  private static final JsonMapper MAPPER = JsonMappers.strict();

  private ConfigurationCodec() {}

  private record Body(
      PublicationId publicationId,
      String publishedBy,
      String reason,
      Inventory inventory,
      List<RequestRule> rules,
      List<PublicationRecord> history) {}

  /**
   * Writes a configuration with its history.
   *
   * @param document the document; not null
   * @return UTF-8 JSON
   */
  public static byte[] encode(PublishedDocument document) {
    Configuration configuration = document.configuration();
    Body body =
        new Body(
            configuration.publication(),
            configuration.publishedBy(),
            configuration.reason(),
            configuration.inventory(),
            configuration.rules(),
            document.history());
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "a configuration can't be written as JSON", e);
    }
  }

  /**
   * Writes a configuration without history.
   *
   * @param configuration the configuration; not null
   * @return UTF-8 JSON
   */
  public static byte[] encode(Configuration configuration) {
    return encode(new PublishedDocument(configuration, List.of()));
  }

  /**
   * Reads a configuration.
   *
   * @param revision the revision under which the store holds the document
   * @param json UTF-8 JSON; not null
   * @return the configuration
   * @throws CodedException with code INVALID_INPUT if the document can't be understood
   */
  public static Configuration decode(long revision, byte[] json) {
    return decodeDocument(revision, json).configuration();
  }

  /**
   * Reads a configuration with its history.
   *
   * @param revision the revision under which the store holds the document
   * @param json UTF-8 JSON; not null
   * @return the document
   * @throws CodedException with code INVALID_INPUT if the document can't be understood
   */
  public static PublishedDocument decodeDocument(long revision, byte[] json) {
    try {
      Body body = MAPPER.readValue(json, Body.class);
      Configuration configuration =
          new Configuration(
              revision,
              body.publicationId(),
              body.publishedBy(),
              body.reason(),
              body.inventory(),
              body.rules());
      return new PublishedDocument(configuration, body.history());
    } catch (IOException | NullPointerException e) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "the published configuration can't be read", e);
    }
  }
}
