package io.cuminvalve.gateway.traffic;

/**
 * Identifies one state of the owners of keys.
 *
 * @param term the term of the holder that reported them; 0 if they were read from the store
 * @param number increases within a term
 * @since 0.2
 */
public record OwnersVersion(long term, long number) {

  /** The owners are unknown. */
  public static final OwnersVersion NONE = new OwnersVersion(-1, 0);

  @Override
  public String toString() {
    return term + "." + number;
  }
}
