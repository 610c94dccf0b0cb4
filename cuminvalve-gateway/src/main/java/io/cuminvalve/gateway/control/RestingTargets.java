package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetRest;
import io.cuminvalve.core.protocol.TargetRestsReport;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Knows, as the holder of the term, which targets have asked gateways for rest. For the control
 * thread.
 */
final class RestingTargets {

  /** A rest that is over sooner costs callers less than moving the keys. */
  private static final long MIN_REST_MS = 500;

  /** A target that has turned so many gateways away turns the others away, too. */
  private static final int RESTING_QUORUM = 3;

  private final MillisClock clock;
  private final IntSupplier gatewayCount;
  private final Map<TargetId, Map<String, Long>> endsMs = new HashMap<>();

  RestingTargets(MillisClock clock, IntSupplier gatewayCount) {
    this.clock = clock;
    this.gatewayCount = gatewayCount;
  }

  /** A gateway leaves targets alone. */
  void onReport(TargetRestsReport report) {
    removeExpired();
    for (TargetRest rest : report.rests()) {
      if (rest.leftMs() > MIN_REST_MS) {
        endsMs
            .computeIfAbsent(rest.target(), id -> new HashMap<>())
            .put(report.process(), clock.nowMs() + rest.leftMs());
      }
    }
  }

  /** Tells whether a target rests: for half of the gateways, or enough of them. */
  boolean isResting(TargetId target) {
    Map<String, Long> ends = endsMs.get(target);
    if (ends == null) {
      return false;
    }
    long nowMs = clock.nowMs();
    long resting = ends.values().stream().filter(endMs -> endMs > nowMs).count();
    return resting >= RESTING_QUORUM || 2 * resting >= gatewayCount.getAsInt();
  }

  private void removeExpired() {
    long nowMs = clock.nowMs();
    endsMs.values().forEach(ends -> ends.values().removeIf(endMs -> endMs <= nowMs));
    endsMs.values().removeIf(Map::isEmpty);
  }
}
