package io.cuminvalve.ports.store;

/**
 * Identifies a lease of the store. Its text has the form that the store chose.
 *
 * @param value the text; not null
 * @since 0.1
 */
public record StoreLeaseId(String value) {

  @Override
  public String toString() {
    return value;
  }
}
