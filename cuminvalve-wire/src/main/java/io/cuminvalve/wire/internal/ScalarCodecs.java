package io.cuminvalve.wire.internal;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.Map;
import org.msgpack.core.MessagePacker;

/**
 * Codecs of numbers, booleans and strings.
 *
 * @since 0.1
 */
final class ScalarCodecs {

  private ScalarCodecs() {}

  static Map<Type, ValueCodec> all() {
    return Map.of(
        int.class,
        new FunctionCodec(
            (packer, value) -> packer.packInt((Integer) value), ValueReader::readInt, 0),
        long.class,
        new FunctionCodec(
            (packer, value) -> packer.packLong((Long) value), ValueReader::readLong, 0L),
        double.class,
        new FunctionCodec(
            (packer, value) -> packer.packDouble((Double) value), ValueReader::readDouble, 0.0),
        boolean.class,
        new FunctionCodec(
            (packer, value) -> packer.packBoolean((Boolean) value),
            ValueReader::readBoolean,
            false),
        String.class,
        new FunctionCodec(
            (packer, value) -> packer.packString((String) value), ValueReader::readString, ""));
  }

  /** Encodes a value. */
  @FunctionalInterface
  interface Writing {
    void write(MessagePacker packer, Object value) throws IOException;
  }

  /** Decodes a value. */
  @FunctionalInterface
  interface Reading {
    Object read(ValueReader reader) throws IOException;
  }

  /** A codec that consists of two functions and a default value. */
  record FunctionCodec(Writing writing, Reading reading, Object missing) implements ValueCodec {

    @Override
    public void write(MessagePacker packer, Object value) throws IOException {
      writing.write(packer, value);
    }

    @Override
    public Object read(ValueReader reader) throws IOException {
      return reading.read(reader);
    }
  }
}
