package io.cuminvalve.core.id;

/**
 * Identifies a non-idempotent operation across retries.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public IdempotencyKey {
    Identifiers.check(value, "IdempotencyKey");
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
