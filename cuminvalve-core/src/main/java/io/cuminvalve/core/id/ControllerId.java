package io.cuminvalve.core.id;

/**
 * Identifies a controller process.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record ControllerId(String value) implements Comparable<ControllerId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public ControllerId {
    Identifiers.check(value, "ControllerId");
  }

  @Override
  public int compareTo(ControllerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
