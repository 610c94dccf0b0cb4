package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.wire.internal.ValueCodec;
import io.cuminvalve.wire.internal.ValueCodecs;
import io.cuminvalve.wire.internal.ValueReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes records as MessagePack arrays.
 *
 * <p>A message is encoded as an array of its type id and its record. Components are ids, numbers,
 * strings, enums, lists, primitive arrays, shard tables and nested records. New components may be
 * appended to a record: a receiver skips components that it does not know, and uses zero, false or
 * an empty value for those that an older sender omits. Decoding checks every declared length
 * against the remaining input before it allocates memory. Thread-safe.
 *
 * @since 0.1
 */
public final class RecordCodec {

  private final ValueCodecs codecs = new ValueCodecs();
  private final Map<Class<?>, Integer> idsByType = new HashMap<>();
  private final Map<Integer, Class<?>> typesById;

  /** Creates a codec for all messages of {@link PeerMessageTypes}. */
  public RecordCodec() {
    this.typesById = PeerMessageTypes.all();
    typesById.forEach((id, type) -> idsByType.put(type, id));
    typesById.values().forEach(codecs::forType);
  }

  /**
   * Encodes a message with its type id.
   *
   * @param message the message; not null
   * @return the encoded message
   * @throws CodedException with code INTERNAL if the message type has no id
   */
  public byte[] encodeMessage(PeerMessage message) {
    Integer id = idsByType.get(message.getClass());
    if (id == null) {
      throw new CodedException(
          ErrorCode.INTERNAL, "no type id registered for " + message.getClass().getName());
    }
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(2);
      packer.packInt(id);
      codecs.forType(message.getClass()).write(packer, message);
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot encode message", impossible);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes the encoded message, which may be malformed; not null
   * @return never null
   * @throws CodedException with code PROTOCOL if the bytes are malformed or of unknown type
   */
  public PeerMessage decodeMessage(byte[] bytes) {
    return read(
        bytes,
        reader -> {
          reader.expectArray(2);
          Class<?> type = typesById.get(reader.readInt());
          if (type == null) {
            throw new CodedException(ErrorCode.PROTOCOL, "unknown message type");
          }
          return (PeerMessage) codecs.forType(type).read(reader);
        });
  }

  /**
   * Encodes a record without a type id.
   *
   * @param value the record; not null
   * @return the encoded record
   */
  public byte[] encode(Record value) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      codecs.forType(value.getClass()).write(packer, value);
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot encode record", impossible);
    }
  }

  /**
   * Decodes a record.
   *
   * @param bytes the encoded record, which may be malformed; not null
   * @param type the record type; not null
   * @param <T> the record type
   * @return never null
   * @throws CodedException with code PROTOCOL if the bytes do not match the type
   */
  public <T extends Record> T decode(byte[] bytes, Class<T> type) {
    ValueCodec codec = codecs.forType(type);
    return type.cast(read(bytes, codec::read));
  }

  private static <T> T read(byte[] bytes, Decoding<T> decoding) {
    try (ValueReader reader = new ValueReader(bytes)) {
      T value = decoding.from(reader);
      reader.expectEnd();
      return value;
    } catch (IOException | MessagePackException malformed) {
      throw new CodedException(ErrorCode.PROTOCOL, "malformed message", malformed);
    } catch (CodedException invalid) {
      throw new CodedException(ErrorCode.PROTOCOL, invalid.getMessage(), invalid);
    }
  }

  /** Reads one value. */
  @FunctionalInterface
  private interface Decoding<T> {
    T from(ValueReader reader) throws IOException;
  }
}
