package io.cuminvalve.gateway.control;

import io.cuminvalve.gateway.traffic.RoutingState;

/**
 * Intervals at which gateways exchange messages with the term holder, and the timeouts derived from
 * them.
 *
 * <p>Intervals grow with the size of the fleet, so that the holder receives no more messages per
 * second.
 */
final class FleetTimings {

  /** Interval between two hellos in a fleet of up to {@link #SMALL_FLEET} gateways. */
  private static final long HELLO_INTERVAL_MS = 300;

  /**
   * Upper bound of the hello interval. With it, a watch on the store and the link to the holder
   * that fall silent at the same time hide a change for less than 2 s, whatever the size of the
   * fleet ({@code WatchDelayBoundsTest}). The holder of 300 gateways receives 430 hellos a second.
   */
  private static final long MAX_HELLO_INTERVAL_MS = 700;

  /** Intervals do not grow up to this number of gateways; longer ones would save nothing. */
  private static final int SMALL_FLEET = 40;

  /**
   * Number of hello intervals after which the holder counts as silent: three unanswered hellos and
   * some margin.
   */
  private static final double SILENCE_TIMEOUT_HELLOS = 3.2;

  /** Upper bound on the time for a store call of the holder and the transit of its heartbeat. */
  private static final long HEARTBEAT_DELAY_MS = 150;

  /**
   * A new configuration has to be in force within 2 s, minus the transit time of a request to its
   * target.
   */
  private static final long CONFIGURATION_MAX_AGE_MS = 1_900;

  /**
   * Age from which confirmed state is checked in the store, whatever the size of the fleet. It
   * leaves room for two calls of a slow store before {@link #CONFIGURATION_MAX_AGE_MS}, and covers
   * the age of the state at the holder plus the longest interval between two hellos.
   */
  private static final long MAX_CONFIRMED_AGE_MS = 1_400;

  private final RoutingState state;

  FleetTimings(RoutingState state) {
    this.state = state;
  }

  /** Returns an interval scaled to the size of the fleet; milliseconds. */
  long scaledToFleet(long intervalMs) {
    return intervalMs * Math.max(SMALL_FLEET, state.current().processes()) / SMALL_FLEET;
  }

  /** Returns the interval between two hellos; milliseconds. */
  long helloIntervalMs() {
    return Math.min(MAX_HELLO_INTERVAL_MS, scaledToFleet(HELLO_INTERVAL_MS));
  }

  /** Returns the time without a message after which the holder counts as silent; milliseconds. */
  long silenceTimeoutMs() {
    return (long) (helloIntervalMs() * SILENCE_TIMEOUT_HELLOS);
  }

  /**
   * Returns the maximum age of state that the holder confirms; milliseconds.
   *
   * <p>The state of the holder is itself up to one short watch old when it sends a heartbeat. In a
   * small fleet the result is 1.1 s and tolerates one lost heartbeat: if a watch, the link to the
   * holder and the next watch all fall silent, a change is delayed by less than the 2 s within
   * which a configuration has to be in force.
   */
  long confirmedMs() {
    return Math.min(MAX_CONFIRMED_AGE_MS, silenceTimeoutMs() + HEARTBEAT_DELAY_MS);
  }

  /** Returns the age of the configuration from which requests are no longer sent; milliseconds. */
  long configurationMaxAgeMs() {
    return CONFIGURATION_MAX_AGE_MS;
  }
}
