package io.cuminvalve.gateway.control;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * How far a process relies on other gateways for what the store holds.
 *
 * @param maxAgeMs how old knowledge may be before the process looks for itself; milliseconds; not
 *     null
 * @param usesPeersOnly whether it asks the store nothing while others confirm what it knows;
 *     otherwise it has a long wait of its own there; not null
 * @since 0.2
 */
public record PeerReliance(LongSupplier maxAgeMs, BooleanSupplier usesPeersOnly) {

  /**
   * Returns the reliance of a process that always waits at the store itself.
   *
   * @param maxAgeMs how old knowledge may be before its waits become short; milliseconds; not null
   * @return never null
   */
  public static PeerReliance partial(LongSupplier maxAgeMs) {
    return new PeerReliance(maxAgeMs, () -> false);
  }
}
