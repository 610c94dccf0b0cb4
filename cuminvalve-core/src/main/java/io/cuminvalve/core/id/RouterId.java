package io.cuminvalve.core.id;

/**
 * Identifies a router process.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record RouterId(String value) implements Comparable<RouterId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public RouterId {
    Identifiers.check(value, "RouterId");
  }

  @Override
  public int compareTo(RouterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
