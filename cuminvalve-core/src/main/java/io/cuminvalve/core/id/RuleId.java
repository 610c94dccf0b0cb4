package io.cuminvalve.core.id;

/**
 * Identifies a rule.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record RuleId(String value) implements Comparable<RuleId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public RuleId {
    Identifiers.check(value, "RuleId");
  }

  @Override
  public int compareTo(RuleId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
