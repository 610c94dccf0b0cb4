package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the last seen incarnation of each other router.
 *
 * @since 0.1
 */
final class RouterIncarnations {

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final long retentionMs;
  private final Map<RouterId, LastSeen> byRouter = new HashMap<>();

  /** The last incarnation of one router, and when the previous one was last seen. */
  private static final class LastSeen {

    private Incarnation current;
    private long seenAtMs = NEVER_MS;
    private long previousSeenAtMs = NEVER_MS;
    private boolean endedCleanly;
  }

  RouterIncarnations(long retentionMs) {
    this.retentionMs = retentionMs;
  }

  /** Records a message of an incarnation and returns whether it replaces another incarnation. */
  boolean recordSeen(RouterId router, Incarnation incarnation, long nowMs) {
    LastSeen entry = byRouter.computeIfAbsent(router, r -> new LastSeen());
    boolean replaced = entry.current != null && !entry.current.equals(incarnation);
    if (replaced) {
      entry.previousSeenAtMs = entry.endedCleanly ? NEVER_MS : entry.seenAtMs;
      entry.endedCleanly = false;
    }
    entry.current = incarnation;
    entry.seenAtMs = nowMs;
    return replaced;
  }

  /** Returns whether a different incarnation was seen recently and did not end cleanly. */
  boolean sawEarlierRun(RouterId router, Incarnation incarnation, long nowMs) {
    LastSeen entry = byRouter.get(router);
    if (entry == null) {
      return false;
    }
    boolean currentDiffers = entry.current != null && !entry.current.equals(incarnation);
    long lastMs = currentDiffers && !entry.endedCleanly ? entry.seenAtMs : entry.previousSeenAtMs;
    return nowMs - lastMs < retentionMs;
  }

  void onCleanEnd(RouterId router, Incarnation incarnation) {
    LastSeen entry = byRouter.computeIfAbsent(router, r -> new LastSeen());
    entry.current = incarnation;
    entry.endedCleanly = true;
  }

  boolean endedCleanly(RouterId router) {
    LastSeen entry = byRouter.get(router);
    return entry != null && entry.endedCleanly;
  }
}
