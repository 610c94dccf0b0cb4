package io.cuminvalve.kernel;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A secret shared by all processes of an installation. It is never logged.
 *
 * @since 0.1
 */
public final class SharedKey {

  /** The minimum length of a key in bytes. */
  public static final int MIN_LENGTH_BYTES = 16;

  private final byte[] bytes;

  /**
   * Creates a key.
   *
   * @param text the secret; at least {@value #MIN_LENGTH_BYTES} bytes in UTF-8
   * @throws CodedException with code INVALID_INPUT if it is too short
   */
  public SharedKey(String text) {
    this.bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length < MIN_LENGTH_BYTES) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "shared key is shorter than " + MIN_LENGTH_BYTES + " bytes");
    }
  }

  /**
   * Returns the secret.
   *
   * @return a copy, never null
   */
  public byte[] bytes() {
    return bytes.clone();
  }

  /**
   * Compares this key with a presented one, in a time independent of where they differ.
   *
   * @param presented the presented secret; may be null
   * @return true if they are equal
   */
  public boolean matches(String presented) {
    return presented != null
        && MessageDigest.isEqual(bytes, presented.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public String toString() {
    return "SharedKey[hidden]";
  }
}
