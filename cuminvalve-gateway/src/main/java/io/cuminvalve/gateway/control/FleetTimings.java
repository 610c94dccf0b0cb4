package io.cuminvalve.gateway.control;

import io.cuminvalve.gateway.traffic.RoutingState;

/**
 * How often gateways speak with the holder of the term, and what silence means.
 *
 * <p>In a wide fleet the pauses grow with it, so that the holder hears no more a second.
 */
final class FleetTimings {

  /** Pause between two hellos in a fleet of up to {@link #NARROW_FLEET} gateways. */
  private static final long HELLO_MS = 300;

  /**
   * The pause grows up to this. A wait at the store and the link to the holder that fall silent
   * together hide a change for less than 2 s then, whatever the width of the fleet ({@code
   * WaitBoundsTest}). The holder of 300 gateways hears 430 hellos a second.
   */
  private static final long LONGEST_HELLO_MS = 700;

  /** Below this size nothing is gained by speaking less. */
  private static final int NARROW_FLEET = 40;

  /** Three hellos without an answer, and some. */
  private static final double SILENT_HELLOS = 3.2;

  /** The holder's call of the store and its word on the way take no longer. */
  private static final long ANSWER_MS = 150;

  /** A configuration has to be in force within 2 s; less a request's way to its target. */
  private static final long CONFIGURATION_MAX_AGE_MS = 1_900;

  /**
   * Older knowledge is looked up, whatever the width of the fleet: two calls of a slow store fit
   * before {@link #CONFIGURATION_MAX_AGE_MS}. The holder's own, and the longest pause between two
   * hellos, fit into it.
   */
  private static final long LONGEST_CONFIRMED_MS = 1_400;

  private final RoutingState state;

  FleetTimings(RoutingState state) {
    this.state = state;
  }

  /** Returns a pause, longer in a wide fleet; milliseconds. */
  long widened(long pauseMs) {
    return pauseMs * Math.max(NARROW_FLEET, state.current().processes()) / NARROW_FLEET;
  }

  /** Returns the pause between two hellos; milliseconds. */
  long helloMs() {
    return Math.min(LONGEST_HELLO_MS, widened(HELLO_MS));
  }

  /** Returns after how long without a word the holder passes for silent; milliseconds. */
  long silentMs() {
    return (long) (helloMs() * SILENT_HELLOS);
  }

  /**
   * Returns how old knowledge may be that the holder confirms; milliseconds.
   *
   * <p>Its own is up to a short wait old when it speaks. In a narrow fleet this is 1.1 s and bears
   * one lost beat: a wait, the link to the holder and the next wait that fall silent together delay
   * a change by less than the 2 s in which a configuration has to be in force.
   */
  long confirmedMs() {
    return Math.min(LONGEST_CONFIRMED_MS, silentMs() + ANSWER_MS);
  }

  /**
   * Returns how old the configuration may be before requests are no longer sent by it;
   * milliseconds.
   */
  long configurationMaxAgeMs() {
    return CONFIGURATION_MAX_AGE_MS;
  }
}
