package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Finds out which requests targets were running when they ended.
 *
 * <p>A connection that breaks says little: answers get lost and networks reset connections while
 * the target lives. So a broken attempt counts only once the run of the target is known to have
 * ended: it refuses connections, or the registry has it no longer. One that accepts connections
 * lives, and what broke there is forgotten. Safe for use by several threads.
 */
final class CrashDetector {

  /** Other requests find out first, mostly, and spare the target a connection. */
  private static final long PROBE_DELAY_MS = 300;

  /** An entry of the registry outlives its target by less, also while the store is slow. */
  private static final long REMEMBERED_MS = 8_000;

  /** Requests that all targets of a fleet of usual width run for one gateway. */
  private static final int MOST_ATTEMPTS = 256;

  private final RoutingState state;
  private final TargetProbe probe;
  private final Timers timers;
  private final MillisClock clock;
  private final Map<TargetId, List<BrokenAttempt>> unclear = new HashMap<>();
  private volatile boolean pending;
  private volatile Consumer<List<BrokenAttempt>> onCrash = crashed -> {};

  CrashDetector(RoutingState state, TargetProbe probe, Timers timers, MillisClock clock) {
    this.state = state;
    this.probe = probe;
    this.timers = timers;
    this.clock = clock;
    state.onChange(this::onRoutingChanged);
  }

  /** Sets who is told of requests under which a target ended, on any thread. */
  void onCrash(Consumer<List<BrokenAttempt>> listener) {
    onCrash = listener;
  }

  /** A target was running a request when the connection broke. */
  void onBroken(BrokenAttempt attempt, FleetTarget target) {
    boolean first;
    synchronized (this) {
      dropOld();
      if (unclear.values().stream().mapToInt(List::size).sum() >= MOST_ATTEMPTS) {
        return;
      }
      List<BrokenAttempt> attempts = unclear.computeIfAbsent(target.id(), id -> new ArrayList<>());
      first = attempts.isEmpty();
      attempts.add(attempt);
      pending = true;
    }
    if (first) {
      timers.schedule(() -> probe(target), PROBE_DELAY_MS);
    }
  }

  /** A target answered a request that was sent at a time: it lived then. */
  void onAlive(TargetId target, long sentMs) {
    if (!pending) {
      return;
    }
    synchronized (this) {
      List<BrokenAttempt> attempts = unclear.get(target);
      if (attempts != null) {
        attempts.removeIf(attempt -> attempt.endedMs() <= sentMs);
        dropOld();
      }
    }
  }

  /** The run of a target is over: nobody listens at its address, or another one does. */
  void onEnded(TargetId target) {
    if (!pending) {
      return;
    }
    List<BrokenAttempt> attempts = take(target);
    if (!attempts.isEmpty()) {
      onCrash.accept(attempts);
    }
  }

  private void probe(FleetTarget target) {
    boolean needed;
    synchronized (this) {
      needed = unclear.containsKey(target.id());
    }
    if (needed) {
      probe.probe(target.address(), finding -> onProbed(target.id(), finding));
    }
  }

  private void onProbed(TargetId target, TargetProbe.Finding finding) {
    if (finding == TargetProbe.Finding.REFUSED) {
      onEnded(target);
    } else if (finding == TargetProbe.Finding.LISTENING) {
      take(target);
    }
  }

  private synchronized List<BrokenAttempt> take(TargetId target) {
    List<BrokenAttempt> attempts = unclear.remove(target);
    pending = !unclear.isEmpty();
    return attempts == null ? List.of() : attempts;
  }

  private void onRoutingChanged() {
    List<TargetId> gone;
    synchronized (this) {
      if (unclear.isEmpty()) {
        return;
      }
      dropOld();
      RoutingSnapshot known = state.current();
      gone = unclear.keySet().stream().filter(id -> known.target(id).isEmpty()).toList();
    }
    gone.forEach(this::onEnded);
  }

  private void dropOld() {
    long oldestMs = clock.nowMs() - REMEMBERED_MS;
    Iterator<List<BrokenAttempt>> all = unclear.values().iterator();
    while (all.hasNext()) {
      List<BrokenAttempt> attempts = all.next();
      attempts.removeIf(attempt -> attempt.endedMs() < oldestMs);
      if (attempts.isEmpty()) {
        all.remove();
      }
    }
    pending = !unclear.isEmpty();
  }
}
