package io.cuminvalve.wire.internal;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.Map;
import org.msgpack.core.MessagePacker;

/**
 * Codecs for primitive arrays.
 *
 * @since 0.1
 */
final class ArrayCodecs {

  private ArrayCodecs() {}

  static Map<Type, ValueCodec> all() {
    return Map.of(
        byte[].class,
        new ScalarCodecs.FunctionCodec(
            (packer, value) -> {
              byte[] bytes = (byte[]) value;
              packer.packBinaryHeader(bytes.length);
              packer.writePayload(bytes);
            },
            ValueReader::readBytes,
            new byte[0]),
        int[].class,
        new ScalarCodecs.FunctionCodec(
            (packer, value) -> writeInts(packer, (int[]) value), ArrayCodecs::readInts, new int[0]),
        long[].class,
        new ScalarCodecs.FunctionCodec(
            (packer, value) -> writeLongs(packer, (long[]) value),
            ArrayCodecs::readLongs,
            new long[0]),
        double[].class,
        new ScalarCodecs.FunctionCodec(
            (packer, value) -> writeDoubles(packer, (double[]) value),
            ArrayCodecs::readDoubles,
            new double[0]));
  }

  static void writeInts(MessagePacker packer, int[] values) throws IOException {
    packer.packArrayHeader(values.length);
    for (int value : values) {
      packer.packInt(value);
    }
  }

  static int[] readInts(ValueReader reader) throws IOException {
    int[] values = new int[reader.readArrayHeader()];
    for (int i = 0; i < values.length; i++) {
      values[i] = reader.readInt();
    }
    return values;
  }

  static void writeLongs(MessagePacker packer, long[] values) throws IOException {
    packer.packArrayHeader(values.length);
    for (long value : values) {
      packer.packLong(value);
    }
  }

  static long[] readLongs(ValueReader reader) throws IOException {
    long[] values = new long[reader.readArrayHeader()];
    for (int i = 0; i < values.length; i++) {
      values[i] = reader.readLong();
    }
    return values;
  }

  private static void writeDoubles(MessagePacker packer, double[] values) throws IOException {
    packer.packArrayHeader(values.length);
    for (double value : values) {
      packer.packDouble(value);
    }
  }

  private static double[] readDoubles(ValueReader reader) throws IOException {
    double[] values = new double[reader.readArrayHeader()];
    for (int i = 0; i < values.length; i++) {
      values[i] = reader.readDouble();
    }
    return values;
  }
}
