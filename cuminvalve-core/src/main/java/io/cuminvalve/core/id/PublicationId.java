package io.cuminvalve.core.id;

/**
 * Identifies one attempt to publish a configuration.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or digit
 * @since 0.1
 */
public record PublicationId(String value) implements Comparable<PublicationId> {

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public PublicationId {
    Identifiers.check(value, "PublicationId");
  }

  @Override
  public int compareTo(PublicationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
