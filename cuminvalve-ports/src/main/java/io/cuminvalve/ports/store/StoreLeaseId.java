package io.cuminvalve.ports.store;

/**
 * Identifies a lease in the store. The store determines the format.
 *
 * @param value the identifier; not null
 * @since 0.1
 */
public record StoreLeaseId(String value) {

  @Override
  public String toString() {
    return value;
  }
}
