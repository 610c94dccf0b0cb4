package io.cuminvalve.config.settings;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the shared key from its file.
 *
 * @since 0.1
 */
public final class SharedKeyFile {

  private SharedKeyFile() {}

  /**
   * Reads the key; white space around it is ignored.
   *
   * @param path the file; not null
   * @return the key
   * @throws CodedException with code INVALID_INPUT if the file can't be read or is too short
   */
  public static SharedKey read(Path path) {
    try {
      return new SharedKey(Files.readString(path, StandardCharsets.UTF_8).strip());
    } catch (IOException e) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "the shared key file can't be read: " + path, e);
    }
  }
}
