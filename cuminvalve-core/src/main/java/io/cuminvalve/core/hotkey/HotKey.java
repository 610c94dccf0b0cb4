package io.cuminvalve.core.hotkey;

/**
 * A key with high load.
 *
 * @param keyHash the hash of the key, see {@link io.cuminvalve.core.table.KeyHasher#hash(String)}
 * @param load the estimated load; apart from the decay, never less than the true load
 * @param error the maximum part of the estimate that may belong to other keys
 * @since 0.1
 */
public record HotKey(long keyHash, double load, double error) {

  /**
   * Returns a lower bound of the load of the key.
   *
   * @return at least 0
   */
  public double certainLoad() {
    return load - error;
  }
}
