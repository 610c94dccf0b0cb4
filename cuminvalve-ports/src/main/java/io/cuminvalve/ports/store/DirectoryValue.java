package io.cuminvalve.ports.store;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The entries of a directory of the store, encoded as one value.
 *
 * <p>A directory is named by a key that ends with a slash and consists of all keys that begin with
 * it. Its revision is that of its latest change, so a directory is read and watched like a key.
 *
 * @param entries the stored values by the part of their key that follows the directory's; not null
 * @since 0.2
 */
public record DirectoryValue(Map<String, byte[]> entries) {

  private static final char SEPARATOR = '/';

  /** Copies the map in the order of the names. */
  public DirectoryValue {
    entries = new TreeMap<>(entries);
  }

  /**
   * Returns whether a key names a directory.
   *
   * @param key the key; not null
   * @return true if it ends with a slash
   */
  public static boolean isDirectory(String key) {
    return !key.isEmpty() && key.charAt(key.length() - 1) == SEPARATOR;
  }

  /**
   * Finds an entry.
   *
   * @param name the name below the directory; not null
   * @return empty if there is none
   */
  public Optional<byte[]> find(String name) {
    return Optional.ofNullable(entries.get(name));
  }

  /**
   * Encodes the entries.
   *
   * @return for each entry the length of its name, its name, the length of its value and its value;
   *     never null
   */
  public byte[] encode() {
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    entries.forEach(
        (name, value) -> {
          append(name.getBytes(StandardCharsets.UTF_8), encoded);
          append(value, encoded);
        });
    return encoded.toByteArray();
  }

  private static void append(byte[] bytes, ByteArrayOutputStream encoded) {
    encoded.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    encoded.writeBytes(bytes);
  }

  /**
   * Decodes entries.
   *
   * @param bytes the result of {@link #encode()}; not null
   * @return never null
   * @throws CodedException with INVALID_INPUT if the bytes are malformed
   */
  public static DirectoryValue decode(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    Map<String, byte[]> entries = new TreeMap<>();
    try {
      while (buffer.hasRemaining()) {
        String name = new String(next(buffer), StandardCharsets.UTF_8);
        entries.put(name, next(buffer));
      }
    } catch (BufferUnderflowException malformed) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "directory of the store ends in an entry", malformed);
    }
    return new DirectoryValue(entries);
  }

  private static byte[] next(ByteBuffer buffer) {
    int length = buffer.getInt();
    if (length < 0 || length > buffer.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    buffer.get(bytes);
    return bytes;
  }
}
