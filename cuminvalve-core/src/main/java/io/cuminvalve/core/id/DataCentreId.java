package io.cuminvalve.core.id;

/**
 * Identifies a data centre.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public DataCentreId {
    Identifiers.check(value, "DataCentreId");
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
