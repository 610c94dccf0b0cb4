package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.reach.ConnectFailure;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.core.reach.ReachSignals;
import io.cuminvalve.core.reach.TargetReach;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Tells which targets this gateway can reach, and probes those that it may not.
 *
 * <p>Calls its listeners without holding its lock. Thread-safe.
 *
 * @since 0.2
 */
public final class ReachMonitor implements ReachSignals {

  /** Shortest interval between two checks whether a probe is due. */
  private static final long CHECK_INTERVAL_MS = 50;

  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final RoutingState state;
  private final TargetProbe probe;
  private final Timers timers;
  private final MillisClock clock;
  private final DecisionLog log;
  private final TargetReach reach = new TargetReach();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile boolean allReachable = true;
  private OptionalLong loggedLostSinceMs = OptionalLong.empty();
  private String lastFailure = "-";
  private Timers.Cancellable checkTimer = () -> {};
  private long checkDueMs = NOT_SCHEDULED;

  ReachMonitor(
      RoutingState state, TargetProbe probe, Timers timers, MillisClock clock, DecisionLog log) {
    this.state = state;
    this.probe = probe;
    this.timers = timers;
    this.clock = clock;
    this.log = log;
    state.onChange(this::onRoutingChanged);
  }

  /**
   * Adds a listener that is called on any thread when the path to the targets is lost or back.
   *
   * @param listener the listener; not null
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Returns whether requests may be sent to a target from here.
   *
   * <p>As long as no peer can relay them, that is also so if only new connections fail.
   */
  boolean isUsable(FleetTarget target) {
    if (allReachable) {
      return true;
    }
    boolean mayRelay = !state.relayPeers().isEmpty();
    synchronized (reach) {
      return reach.isReachable(target.id())
          || (!mayRelay && reach.isAnswering(target.id(), clock.nowMs()));
    }
  }

  /** Returns whether failed connections may be due to the path and not to the targets. */
  boolean isDoubtful() {
    synchronized (reach) {
      return reach.isDoubtful(clock.nowMs());
    }
  }

  /**
   * Returns the number of targets that this gateway cannot reach.
   *
   * @return at least 0
   */
  public int unreachableCount() {
    synchronized (reach) {
      return reach.unreachableCount();
    }
  }

  /**
   * Returns how many of the known targets this gateway can reach.
   *
   * @return never null
   */
  public ReachShare share() {
    synchronized (reach) {
      int unreachable = reach.unreachableCount();
      return new ReachShare(reach.targetCount() - unreachable, unreachable);
    }
  }

  @Override
  public void onSent(TargetId target) {
    synchronized (reach) {
      long nowMs = clock.nowMs();
      reach.onSent(target, nowMs);
      scheduleCheck(nowMs);
    }
  }

  @Override
  public void onEnded(TargetId target) {
    synchronized (reach) {
      reach.onEnded(target);
    }
  }

  @Override
  public void onAnswer(TargetId target) {
    synchronized (reach) {
      reach.onAnswer(target, clock.nowMs());
    }
  }

  @Override
  public void onDoubt(TargetId target) {
    synchronized (reach) {
      long nowMs = clock.nowMs();
      reach.onDoubt(target, nowMs);
      scheduleCheck(nowMs);
    }
  }

  /** Handles the failure of an attempt of which no byte was sent. */
  void onNotSent(TargetId target, Throwable cause) {
    if (cause instanceof SocketTimeoutException) {
      onConnectFailed(target, ConnectFailure.TIMEOUT);
    } else if (cause instanceof ConnectException) {
      onConnectFailed(target, ConnectFailure.REFUSED);
    }
  }

  private void onConnectFailed(TargetId target, ConnectFailure failure) {
    synchronized (reach) {
      lastFailure = failure.name();
      reach.onConnectFailed(target, failure, clock.nowMs());
    }
    publish();
  }

  private void onRoutingChanged() {
    List<TargetId> ids = state.current().targets().stream().map(FleetTarget::id).toList();
    synchronized (reach) {
      reach.setTargets(ids);
      scheduleCheck(clock.nowMs());
    }
  }

  /**
   * Schedules the next check if one may have something to do: a gateway at rest that reaches all
   * targets has no timer. Called with the lock held.
   */
  private void scheduleCheck(long nowMs) {
    OptionalLong next = allReachable ? reach.nextCheckMs(nowMs) : OptionalLong.of(nowMs);
    if (next.isEmpty()) {
      return;
    }
    long dueMs = Math.max(next.getAsLong(), nowMs + CHECK_INTERVAL_MS);
    if (dueMs < checkDueMs) {
      checkTimer.cancel();
      checkDueMs = dueMs;
      checkTimer = timers.schedule(() -> check(dueMs), dueMs - nowMs);
    }
  }

  private void check(long scheduledForMs) {
    List<TargetId> due;
    synchronized (reach) {
      if (scheduledForMs != checkDueMs) {
        return;
      }
      checkDueMs = NOT_SCHEDULED;
      due = reach.takeProbes(clock.nowMs());
    }
    due.forEach(this::probe);
    publish();
  }

  private void probe(TargetId target) {
    state
        .current()
        .target(target)
        .ifPresent(known -> probe.probe(known.address(), finding -> onProbed(target, finding)));
  }

  private void onProbed(TargetId target, TargetProbe.Finding finding) {
    synchronized (reach) {
      long nowMs = clock.nowMs();
      switch (finding) {
        case LISTENING -> reach.onProbeConnected(target, nowMs);
        case REFUSED -> onProbeFailed(target, ConnectFailure.REFUSED, nowMs);
        default -> onProbeFailed(target, ConnectFailure.TIMEOUT, nowMs);
      }
    }
    publish();
  }

  private void onProbeFailed(TargetId target, ConnectFailure failure, long nowMs) {
    lastFailure = failure.name();
    reach.onProbeFailed(target, failure, nowMs);
  }

  /** Tells the listeners if the path was lost or is back since, and schedules the next check. */
  private void publish() {
    boolean changed;
    synchronized (reach) {
      allReachable = !reach.isLost() && reach.unreachableCount() == 0;
      changed = !loggedLostSinceMs.equals(reach.lostSinceMs());
      if (changed) {
        logChange();
        loggedLostSinceMs = reach.lostSinceMs();
      }
      scheduleCheck(clock.nowMs());
    }
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  private void logChange() {
    if (reach.isLost()) {
      log.write("path_lost", "targets={} why={}", reach.targetCount(), lastFailure);
    } else {
      log.write(
          "path_regained",
          "targets={} unreachable={} after_ms={}",
          reach.targetCount(),
          reach.unreachableCount(),
          clock.nowMs() - loggedLostSinceMs.orElse(clock.nowMs()));
    }
  }
}
