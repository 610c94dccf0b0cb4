package io.cuminvalve.wire.internal;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/**
 * Encodes and decodes the values of one type.
 *
 * @since 0.1
 */
public interface ValueCodec {

  /**
   * Writes a value.
   *
   * @param packer the output; not null
   * @param value the value; not null
   * @throws IOException declared by the packer; not thrown by packers that write to memory
   */
  void write(MessagePacker packer, Object value) throws IOException;

  /**
   * Reads a value.
   *
   * @param reader the input; not null
   * @return never null
   * @throws IOException if the input is truncated
   */
  Object read(ValueReader reader) throws IOException;

  /**
   * Returns the default for a component that an older sender omits.
   *
   * @return the default, or null if the component is mandatory
   */
  default Object missing() {
    return null;
  }
}
