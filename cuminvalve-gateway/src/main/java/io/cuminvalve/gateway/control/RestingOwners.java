package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetRest;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Knows, as the holder of the term, which gateways leave which targets alone. For the control
 * thread.
 */
final class RestingOwners {

  /** A rest that is over sooner costs callers less than moving the keys. */
  private static final long SHORT_REST_MS = 500;

  private final MillisClock clock;
  private final IntSupplier gateways;
  private final Map<TargetId, Map<String, Long>> endsMs = new HashMap<>();

  RestingOwners(MillisClock clock, IntSupplier gateways) {
    this.clock = clock;
    this.gateways = gateways;
  }

  /** A gateway leaves a target alone. */
  void onRest(TargetRest rest) {
    dropOver();
    if (rest.leftMs() > SHORT_REST_MS) {
      endsMs
          .computeIfAbsent(rest.target(), id -> new HashMap<>())
          .put(rest.process(), clock.nowMs() + rest.leftMs());
    }
  }

  /** Returns which part of the gateways may send requests to a target; 0 to 1. */
  double shareThatMaySend(TargetId target) {
    Map<String, Long> ends = endsMs.get(target);
    if (ends == null) {
      return 1;
    }
    long nowMs = clock.nowMs();
    long resting = ends.values().stream().filter(endMs -> endMs > nowMs).count();
    return Math.max(0, 1 - (double) resting / Math.max(1, gateways.getAsInt()));
  }

  private void dropOver() {
    long nowMs = clock.nowMs();
    endsMs.values().forEach(ends -> ends.values().removeIf(endMs -> endMs <= nowMs));
    endsMs.values().removeIf(Map::isEmpty);
  }
}
