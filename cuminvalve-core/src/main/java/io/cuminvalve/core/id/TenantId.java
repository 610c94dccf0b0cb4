package io.cuminvalve.core.id;

/**
 * Identifies a tenant, the party on whose behalf a caller acts.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record TenantId(String value) implements Comparable<TenantId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public TenantId {
    Identifiers.check(value, "TenantId");
  }

  @Override
  public int compareTo(TenantId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
