package io.cuminvalve.gateway.traffic;

/**
 * Tells states of the owners of keys apart.
 *
 * @param term the term of the holder that told them; 0 if they were read from the store
 * @param number grows within a term
 * @since 0.2
 */
public record OwnersVersion(long term, long number) {

  /** Nothing is known of the owners. */
  public static final OwnersVersion NONE = new OwnersVersion(-1, 0);

  @Override
  public String toString() {
    return term + "." + number;
  }
}
