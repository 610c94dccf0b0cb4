package io.cuminvalve.wire.internal;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads values from untrusted bytes of a peer.
 *
 * <p>Every declared length is checked against the remaining input before memory is allocated.
 *
 * @since 0.1
 */
public final class ValueReader implements AutoCloseable {

  private final MessageUnpacker unpacker;
  private final int lengthBytes;

  /**
   * Creates a reader.
   *
   * @param bytes the input; not null
   */
  public ValueReader(byte[] bytes) {
    this.unpacker = MessagePack.newDefaultUnpacker(bytes);
    this.lengthBytes = bytes.length;
  }

  /**
   * Reads the header of an array.
   *
   * @return the number of elements, at most the number of remaining bytes
   * @throws IOException if the input is truncated
   */
  public int readArrayHeader() throws IOException {
    return checkLength(unpacker.unpackArrayHeader());
  }

  /**
   * Reads the header of an array and checks its length.
   *
   * @param length the expected number of elements
   * @throws IOException if the input is truncated
   */
  public void expectArray(int length) throws IOException {
    int actual = readArrayHeader();
    if (actual != length) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "unexpected array length: " + actual + " elements");
    }
  }

  /**
   * Checks that all input was read.
   *
   * @throws IOException never
   */
  public void expectEnd() throws IOException {
    if (remainingBytes() != 0) {
      throw new CodedException(ErrorCode.PROTOCOL, "trailing bytes after message");
    }
  }

  /**
   * Reads an int.
   *
   * @return the value
   * @throws IOException if the input is truncated
   */
  public int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  /**
   * Reads a long.
   *
   * @return the value
   * @throws IOException if the input is truncated
   */
  public long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  /**
   * Reads a double.
   *
   * @return the value
   * @throws IOException if the input is truncated
   */
  public double readDouble() throws IOException {
    return unpacker.unpackDouble();
  }

  /**
   * Reads a boolean.
   *
   * @return the value
   * @throws IOException if the input is truncated
   */
  public boolean readBoolean() throws IOException {
    return unpacker.unpackBoolean();
  }

  /**
   * Reads a byte array.
   *
   * @return never null
   * @throws IOException if the input is truncated
   */
  public byte[] readBytes() throws IOException {
    return unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader()));
  }

  /**
   * Reads a string.
   *
   * @return never null
   * @throws IOException if the input is truncated
   */
  public String readString() throws IOException {
    byte[] utf8 = unpacker.readPayload(checkLength(unpacker.unpackRawStringHeader()));
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(utf8)).toString();
    } catch (CharacterCodingException malformed) {
      throw new CodedException(ErrorCode.PROTOCOL, "string is not valid UTF-8", malformed);
    }
  }

  /**
   * Skips one value of any type.
   *
   * @throws IOException if the input is truncated
   */
  public void skip() throws IOException {
    unpacker.skipValue();
  }

  @Override
  public void close() throws IOException {
    unpacker.close();
  }

  private int checkLength(int length) {
    if (length < 0 || length > remainingBytes()) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "declared length exceeds the message: " + length);
    }
    return length;
  }

  private long remainingBytes() {
    return lengthBytes - unpacker.getTotalReadBytes();
  }
}
