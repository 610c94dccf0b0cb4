package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Detects which requests a target was running when it ended.
 *
 * <p>A broken connection alone is no evidence: responses get lost and networks reset connections
 * while the target is alive. A broken attempt counts as a crash only if the run of the target is
 * known to have ended, because it refuses connections or is no longer registered. If the target
 * still accepts connections, its broken attempts are discarded. A refused connection proves the end
 * only if the path to the targets is not in doubt. Thread-safe.
 */
final class CrashDetector {

  /** Other requests usually reveal the state of the target earlier, which saves a connection. */
  private static final long PROBE_DELAY_MS = 300;

  /** A registry entry outlives its target by less than this, even while the store is slow. */
  private static final long RETENTION_MS = 8_000;

  /** Number of requests that all targets of a typical fleet run for one gateway. */
  private static final int MAX_ATTEMPTS = 256;

  private final RoutingState state;
  private final TargetProbe probe;
  private final Timers timers;
  private final MillisClock clock;
  private final Map<TargetId, List<BrokenAttempt>> unresolved = new HashMap<>();
  private final Set<TargetId> refused = new HashSet<>();
  private final BooleanSupplier pathDoubtful;
  private volatile boolean anyUnresolved;
  private volatile Consumer<List<BrokenAttempt>> onCrash = crashed -> {};

  /**
   * Creates a detector without broken attempts.
   *
   * @param pathDoubtful returns whether refused connections may be due to the path; not null
   */
  CrashDetector(
      RoutingState state,
      TargetProbe probe,
      Timers timers,
      MillisClock clock,
      BooleanSupplier pathDoubtful) {
    this.state = state;
    this.probe = probe;
    this.timers = timers;
    this.clock = clock;
    this.pathDoubtful = pathDoubtful;
    state.onChange(this::onRoutingChanged);
  }

  /** Sets the listener for requests during which a target ended; called on any thread. */
  void onCrash(Consumer<List<BrokenAttempt>> listener) {
    onCrash = listener;
  }

  /** Records that the connection to a target broke while it was running a request. */
  void onBroken(BrokenAttempt attempt, FleetTarget target) {
    boolean first;
    synchronized (this) {
      discardExpired();
      if (unresolved.values().stream().mapToInt(List::size).sum() >= MAX_ATTEMPTS) {
        return;
      }
      List<BrokenAttempt> attempts =
          unresolved.computeIfAbsent(target.id(), id -> new ArrayList<>());
      first = attempts.isEmpty();
      attempts.add(attempt);
      anyUnresolved = true;
    }
    if (first) {
      timers.schedule(() -> probe(target), PROBE_DELAY_MS);
    }
  }

  /** Discards attempts that ended before the target was sent a request that it then answered. */
  void onAlive(TargetId target, long sentMs) {
    if (!anyUnresolved) {
      return;
    }
    List<TargetId> endedTargets = List.of();
    synchronized (this) {
      List<BrokenAttempt> attempts = unresolved.get(target);
      if (attempts != null) {
        attempts.removeIf(attempt -> attempt.endedMs() <= sentMs);
        discardExpired();
      }
      refused.remove(target);
      if (!refused.isEmpty()) {
        endedTargets = refused.stream().filter(id -> brokeBefore(id, sentMs)).toList();
      }
    }
    if (!endedTargets.isEmpty() && !pathDoubtful.getAsBoolean()) {
      endedTargets.forEach(this::onEnded);
    }
  }

  private boolean brokeBefore(TargetId target, long sentMs) {
    return unresolved.getOrDefault(target, List.of()).stream()
        .anyMatch(attempt -> attempt.endedMs() <= sentMs);
  }

  /**
   * Records that a target refused a connection. It has ended if another target answers a request
   * sent later, or if a probe is refused too; otherwise the path may be lost.
   */
  void onRefused(TargetId target) {
    if (!anyUnresolved) {
      return;
    }
    synchronized (this) {
      if (unresolved.containsKey(target)) {
        refused.add(target);
      }
    }
  }

  /** Reports the broken attempts of a target that has ended, or was replaced at its address. */
  void onEnded(TargetId target) {
    if (!anyUnresolved) {
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
      needed = unresolved.containsKey(target.id());
    }
    if (needed) {
      probe.probe(target.address(), finding -> onProbed(target, finding));
    }
  }

  private void onProbed(FleetTarget target, TargetProbe.Finding finding) {
    boolean inDoubt = pathDoubtful.getAsBoolean();
    if (finding == TargetProbe.Finding.REFUSED && inDoubt) {
      forgetRefusal(target.id());
      timers.schedule(() -> probe(target), PROBE_DELAY_MS);
    } else if (finding == TargetProbe.Finding.REFUSED) {
      onEnded(target.id());
    } else if (finding == TargetProbe.Finding.LISTENING) {
      onListening(target.id(), inDoubt);
    }
  }

  /** Another run listens at the address of a target that has refused a connection before. */
  private void onListening(TargetId target, boolean inDoubt) {
    if (!inDoubt && hasRefused(target)) {
      onEnded(target);
    } else {
      take(target);
    }
  }

  private synchronized boolean hasRefused(TargetId target) {
    return refused.contains(target);
  }

  /** Refusals of a target prove nothing once the path is in doubt, also after it has returned. */
  private synchronized void forgetRefusal(TargetId target) {
    refused.remove(target);
  }

  private synchronized List<BrokenAttempt> take(TargetId target) {
    refused.remove(target);
    List<BrokenAttempt> attempts = unresolved.remove(target);
    anyUnresolved = !unresolved.isEmpty();
    return attempts == null ? List.of() : attempts;
  }

  private void onRoutingChanged() {
    List<TargetId> unregistered;
    synchronized (this) {
      if (unresolved.isEmpty()) {
        return;
      }
      discardExpired();
      RoutingSnapshot known = state.current();
      unregistered = unresolved.keySet().stream().filter(id -> known.target(id).isEmpty()).toList();
    }
    unregistered.forEach(this::onEnded);
  }

  private void discardExpired() {
    long oldestMs = clock.nowMs() - RETENTION_MS;
    Iterator<List<BrokenAttempt>> all = unresolved.values().iterator();
    while (all.hasNext()) {
      List<BrokenAttempt> attempts = all.next();
      attempts.removeIf(attempt -> attempt.endedMs() < oldestMs);
      if (attempts.isEmpty()) {
        all.remove();
      }
    }
    refused.retainAll(unresolved.keySet());
    anyUnresolved = !unresolved.isEmpty();
  }
}
