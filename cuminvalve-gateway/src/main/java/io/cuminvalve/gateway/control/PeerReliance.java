package io.cuminvalve.gateway.control;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * How far a process relies on other gateways instead of the store.
 *
 * @param maxAgeMs maximum age of state confirmed by others before the process queries the store
 *     itself; milliseconds; not null
 * @param usesPeersOnly whether the process sends no calls to the store while others confirm its
 *     state; otherwise it keeps a long watch open; not null
 * @since 0.2
 */
public record PeerReliance(LongSupplier maxAgeMs, BooleanSupplier usesPeersOnly) {

  /**
   * Returns the reliance of a process that always keeps a watch on the store.
   *
   * @param maxAgeMs maximum age of state before its watches become short; milliseconds; not null
   * @return never null
   */
  public static PeerReliance partial(LongSupplier maxAgeMs) {
    return new PeerReliance(maxAgeMs, () -> false);
  }
}
