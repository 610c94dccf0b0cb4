package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which run of each other router was met last.
 *
 * @since 0.1
 */
final class RouterIncarnations {

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final long memoryMs;
  private final Map<RouterId, Run> runs = new HashMap<>();

  /** The last run of one router and when an earlier one was last met. */
  private static final class Run {

    private Incarnation current;
    private long metAtMs = NEVER_MS;
    private long earlierMetAtMs = NEVER_MS;
    private boolean endedCleanly;
  }

  RouterIncarnations(long memoryMs) {
    this.memoryMs = memoryMs;
  }

  /** Records a message of a run and tells whether it replaces another. */
  boolean isNewRun(RouterId router, Incarnation incarnation, long nowMs) {
    Run run = runs.computeIfAbsent(router, r -> new Run());
    boolean replaced = run.current != null && !run.current.equals(incarnation);
    if (replaced) {
      run.earlierMetAtMs = run.endedCleanly ? NEVER_MS : run.metAtMs;
      run.endedCleanly = false;
    }
    run.current = incarnation;
    run.metAtMs = nowMs;
    return replaced;
  }

  /** Tells whether a run other than this one was met lately and did not end cleanly. */
  boolean sawEarlierRun(RouterId router, Incarnation incarnation, long nowMs) {
    Run run = runs.get(router);
    if (run == null) {
      return false;
    }
    boolean currentIsEarlier = run.current != null && !run.current.equals(incarnation);
    long lastMs = currentIsEarlier && !run.endedCleanly ? run.metAtMs : run.earlierMetAtMs;
    return nowMs - lastMs < memoryMs;
  }

  void onCleanEnd(RouterId router, Incarnation incarnation) {
    Run run = runs.computeIfAbsent(router, r -> new Run());
    run.current = incarnation;
    run.endedCleanly = true;
  }

  boolean endedCleanly(RouterId router) {
    Run run = runs.get(router);
    return run != null && run.endedCleanly;
  }
}
