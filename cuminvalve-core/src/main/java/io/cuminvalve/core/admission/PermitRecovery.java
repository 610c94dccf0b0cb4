package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Which routers a new gate has yet to hear of.
 *
 * @since 0.1
 */
final class PermitRecovery {

  private static final int ASKS_PER_PATIENCE = 4;

  private final Set<RouterId> awaited = new LinkedHashSet<>();
  private boolean running;
  private long endsAtMs;
  private long askedAtMs;

  void start(long newEndsAtMs, long nowMs) {
    awaited.clear();
    running = true;
    endsAtMs = newEndsAtMs;
    askedAtMs = nowMs;
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

  /** Returns whom to ask once more, because the question may be lost. */
  List<RouterId> routersToAskAgain(long nowMs, long patienceMs) {
    if (!running || nowMs - askedAtMs < patienceMs / ASKS_PER_PATIENCE) {
      return List.of();
    }
    askedAtMs = nowMs;
    return new ArrayList<>(awaited);
  }

  /** Ends the wait and returns the routers that did not answer. */
  List<RouterId> finish() {
    running = false;
    List<RouterId> silent = new ArrayList<>(awaited);
    awaited.clear();
    return silent;
  }
}
