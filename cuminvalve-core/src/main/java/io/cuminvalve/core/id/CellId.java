package io.cuminvalve.core.id;

/**
 * Identifies a cell, the key space of one service in one region.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record CellId(String value) implements Comparable<CellId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public CellId {
    Identifiers.check(value, "CellId");
  }

  @Override
  public int compareTo(CellId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
