package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.kernel.MillisClock;
import java.util.function.Predicate;

/**
 * Updates the slots of a target and the statistics of a route with the outcome of an attempt.
 *
 * <p>Guarded by the lock of the {@link Dispatcher}.
 */
final class OutcomeRecorder {

  private final MillisClock clock;
  private final RouteStatistics routes;
  private final Predicate<FleetTarget> isReachable;

  OutcomeRecorder(MillisClock clock, RouteStatistics routes, Predicate<FleetTarget> isReachable) {
    this.clock = clock;
    this.routes = routes;
    this.isReachable = isReachable;
  }

  /** Records the outcome of an attempt that took so many milliseconds. */
  void record(
      FleetTarget target, TargetSlots slots, String route, AttemptOutcome outcome, long tookMs) {
    switch (outcome) {
      case ANSWERED -> {
        slots.onCompletion(tookMs);
        slots.onResponse(routes.recordTime(route, tookMs));
      }
      case FAILED -> {
        slots.onCompletion(tookMs);
        slots.onFailedResponse();
      }
      case NO_ANSWER -> {
        slots.onCompletion(tookMs);
        if (isReachable.test(target)) {
          slots.onNoResponse(clock.nowMs());
        }
      }
      default -> {
        // An abandoned attempt says nothing about the target.
      }
    }
  }
}
