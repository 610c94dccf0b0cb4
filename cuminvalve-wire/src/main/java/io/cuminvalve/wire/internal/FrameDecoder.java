package io.cuminvalve.wire.internal;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a byte stream into frames: a length of four bytes, big-endian, then the content.
 *
 * <p>The buffer grows with the bytes received, never with the declared length of a frame. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class FrameDecoder {

  /** The maximum length of the content of a frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** The size of the length prefix, in bytes. */
  public static final int HEADER_BYTES = 4;

  private static final int INITIAL_BYTES = 4096;

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int writeIndex;
  private int readIndex;
  private int maxFrameBytes;

  /**
   * Creates a decoder.
   *
   * @param maxFrameBytes the initial maximum length of the content of a frame, in bytes
   */
  public FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Changes the maximum length of the content of a frame.
   *
   * @param bytes at most {@link #MAX_FRAME_BYTES}
   */
  public void setMaxFrameBytes(int bytes) {
    maxFrameBytes = bytes;
  }

  /**
   * Appends received bytes.
   *
   * @param bytes the bytes, consumed completely; not null
   */
  public void append(ByteBuffer bytes) {
    int count = bytes.remaining();
    ensureCapacity(count);
    bytes.get(buffer, writeIndex, count);
    writeIndex += count;
  }

  /**
   * Returns the next complete frame.
   *
   * @return the content of the frame, or empty if more bytes are needed
   * @throws CodedException with code PROTOCOL if the declared length is negative or exceeds the
   *     maximum
   */
  public Optional<byte[]> next() {
    if (writeIndex - readIndex < HEADER_BYTES) {
      return Optional.empty();
    }
    int length = ByteBuffer.wrap(buffer, readIndex, HEADER_BYTES).getInt();
    if (length < 0 || length > maxFrameBytes) {
      throw new CodedException(ErrorCode.PROTOCOL, "invalid frame length: " + length + " bytes");
    }
    if (writeIndex - readIndex - HEADER_BYTES < length) {
      return Optional.empty();
    }
    int start = readIndex + HEADER_BYTES;
    readIndex = start + length;
    return Optional.of(Arrays.copyOfRange(buffer, start, readIndex));
  }

  /**
   * Returns the size of the buffer.
   *
   * @return the size in bytes
   */
  public int capacityBytes() {
    return buffer.length;
  }

  /**
   * Encodes a frame.
   *
   * @param content the content, at most {@link #MAX_FRAME_BYTES} bytes; not null
   * @return the frame with its length prefix
   * @throws CodedException with code PROTOCOL if the content is too long
   */
  public static byte[] frame(byte[] content) {
    if (content.length > MAX_FRAME_BYTES) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "message too long: " + content.length + " bytes");
    }
    return ByteBuffer.allocate(HEADER_BYTES + content.length)
        .putInt(content.length)
        .put(content)
        .array();
  }

  private void ensureCapacity(int count) {
    int unreadBytes = writeIndex - readIndex;
    if (writeIndex + count <= buffer.length) {
      return;
    }
    byte[] target = buffer;
    if (unreadBytes + count > buffer.length) {
      target = new byte[Math.max(unreadBytes + count, 2 * unreadBytes)];
    } else if (buffer.length > INITIAL_BYTES && unreadBytes + count <= INITIAL_BYTES) {
      target = new byte[INITIAL_BYTES];
    }
    System.arraycopy(buffer, readIndex, target, 0, unreadBytes);
    buffer = target;
    writeIndex = unreadBytes;
    readIndex = 0;
  }
}
