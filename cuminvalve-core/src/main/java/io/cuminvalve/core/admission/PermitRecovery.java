package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks the routers whose permit reports a new gate is still waiting for.
 *
 * @since 0.1
 */
final class PermitRecovery {

  /** How often a permit report is requested within the timeout. */
  private static final int REQUESTS_PER_TIMEOUT = 4;

  private final Set<RouterId> awaited = new LinkedHashSet<>();
  private boolean running;
  private long endsAtMs;
  private long requestedAtMs;

  void start(long newEndsAtMs, long nowMs) {
    awaited.clear();
    running = true;
    endsAtMs = newEndsAtMs;
    requestedAtMs = nowMs;
  }

  void await(RouterId router) {
    awaited.add(router);
  }

  void onReport(RouterId router) {
    awaited.remove(router);
  }

  boolean isOver(long nowMs) {
    return running && (awaited.isEmpty() || nowMs >= endsAtMs);
  }

  /** Returns the routers to send another request to, since the previous one may have been lost. */
  List<RouterId> routersToRetry(long nowMs, long timeoutMs) {
    if (!running || nowMs - requestedAtMs < timeoutMs / REQUESTS_PER_TIMEOUT) {
      return List.of();
    }
    requestedAtMs = nowMs;
    return new ArrayList<>(awaited);
  }

  /** Stops waiting and returns the routers that did not report. */
  List<RouterId> finish() {
    running = false;
    List<RouterId> silent = new ArrayList<>(awaited);
    awaited.clear();
    return silent;
  }
}
