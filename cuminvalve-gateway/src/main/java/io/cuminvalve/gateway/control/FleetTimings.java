package io.cuminvalve.gateway.control;

import io.cuminvalve.gateway.traffic.RoutingState;

/**
 * How often gateways speak with the holder of the term, and what silence means.
 *
 * <p>In a wide fleet the pauses grow with it, so that the holder hears no more a second.
 */
final class FleetTimings {

  /** Pause between two hellos in a fleet of up to {@link #SMALL_FLEET} gateways. */
  private static final long HELLO_INTERVAL_MS = 300;

  /**
   * The pause grows up to this. A wait at the store and the link to the holder that fall silent
   * together hide a change for less than 2 s then, whatever the width of the fleet ({@code
   * WaitBoundsTest}). The holder of 300 gateways hears 430 hellos a second.
   */
  private static final long MAX_HELLO_INTERVAL_MS = 700;

  /** Below this size nothing is gained by speaking less. */
  private static final int SMALL_FLEET = 40;

  /** Three hellos without an answer, and some. */
  private static final double SILENCE_TIMEOUT_HELLOS = 3.2;

  /** The holder's call of the store and its word on the way take no longer. */
  private static final long BEAT_DELAY_MS = 150;

  /** A configuration has to be in force within 2 s; less a request's way to its target. */
  private static final long CONFIGURATION_MAX_AGE_MS = 1_900;

  /**
   * Older knowledge is looked up, whatever the width of the fleet: two calls of a slow store fit
   * before {@link #CONFIGURATION_MAX_AGE_MS}. The holder's own, and the longest pause between two
   * hellos, fit into it.
   */
  private static final long MAX_CONFIRMED_AGE_MS = 1_400;

  private final RoutingState state;

  FleetTimings(RoutingState state) {
    this.state = state;
  }

  /** Returns a pause, longer in a wide fleet; milliseconds. */
  long scaledToFleet(long intervalMs) {
    return intervalMs * Math.max(SMALL_FLEET, state.current().processes()) / SMALL_FLEET;
  }

  /** Returns the pause between two hellos; milliseconds. */
  long helloIntervalMs() {
    return Math.min(MAX_HELLO_INTERVAL_MS, scaledToFleet(HELLO_INTERVAL_MS));
  }

  /** Returns after how long without a word the holder passes for silent; milliseconds. */
  long silenceTimeoutMs() {
    return (long) (helloIntervalMs() * SILENCE_TIMEOUT_HELLOS);
  }

  /**
   * Returns how old knowledge may be that the holder confirms; milliseconds.
   *
   * <p>Its own is up to a short wait old when it speaks. In a narrow fleet this is 1.1 s and bears
   * one lost beat: a wait, the link to the holder and the next wait that fall silent together delay
   * a change by less than the 2 s in which a configuration has to be in force.
   */
  long confirmedMs() {
    return Math.min(MAX_CONFIRMED_AGE_MS, silenceTimeoutMs() + BEAT_DELAY_MS);
  }

  /**
   * Returns how old the configuration may be before requests are no longer sent by it;
   * milliseconds.
   */
  long configurationMaxAgeMs() {
    return CONFIGURATION_MAX_AGE_MS;
  }
}
