package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetBackoff;
import io.cuminvalve.core.protocol.TargetBackoffsReport;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Keeps track, in the term holder, of targets that have asked gateways to back off, that is, to
 * send them no requests for some time. For use on the control thread.
 */
final class RestingTargets {

  /** Shorter back-offs are ignored: they cost clients less than moving the keys. */
  private static final long MIN_BACKOFF_MS = 500;

  /**
   * Number of gateways from which on the back-off of a target counts; it will turn the others away
   * too.
   */
  private static final int RESTING_QUORUM = 3;

  private final MillisClock clock;
  private final IntSupplier gatewayCount;
  private final Map<TargetId, Map<String, Long>> endsMs = new HashMap<>();

  RestingTargets(MillisClock clock, IntSupplier gatewayCount) {
    this.clock = clock;
    this.gatewayCount = gatewayCount;
  }

  /** Handles a report of a gateway about the targets that it sends nothing to for now. */
  void onReport(TargetBackoffsReport report) {
    removeExpired();
    for (TargetBackoff backoff : report.backoffs()) {
      if (backoff.leftMs() > MIN_BACKOFF_MS) {
        endsMs
            .computeIfAbsent(backoff.target(), id -> new HashMap<>())
            .put(report.process(), clock.nowMs() + backoff.leftMs());
      }
    }
  }

  /**
   * Returns whether a target has asked at least half of the gateways, or {@link #RESTING_QUORUM} of
   * them, to back off.
   */
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
