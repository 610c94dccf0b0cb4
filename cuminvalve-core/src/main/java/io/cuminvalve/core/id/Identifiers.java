package io.cuminvalve.core.id;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.regex.Pattern;

/**
 * Validates the text of identifiers.
 *
 * @since 0.1
 */
final class Identifiers {

  private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

  /** Limited to values that fit into a signed 64-bit integer. */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private Identifiers() {}

  static void checkNumber(String value, String type) {
    if (!NUMBER.matcher(value).matches()) {
      throw new CodedException(ErrorCode.INVALID_INPUT, type + " has an invalid number: " + value);
    }
  }

  static String check(String value, String type) {
    if (value == null || !ALLOWED.matcher(value).matches()) {
      throw new CodedException(ErrorCode.INVALID_INPUT, type + " has an invalid value: " + value);
    }
    return value;
  }
}
