package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The targets that have asked this gateway for rest, and until when it leaves them alone.
 *
 * <p>A rest is that of one run of a target: the next run under its name has not asked for any. It
 * is measured by the clock that never counts more time than has passed. Safe for use by several
 * threads.
 */
final class TargetBackoffs {

  /** Bounds the memory, also if every target of a large fleet asks for rest. */
  static final int MOST_TARGETS = 1_024;

  /** Gateways come back one after the other: each adds up to this part of the rest. */
  private static final double SPREAD = 0.1;

  private static final long LONGEST_SPREAD_MS = 250;

  private final MillisClock clock;
  private final Timers timers;
  private final RandomGenerator random;
  private final DecisionLog log;
  private final Map<TargetId, Long> endsMs = new HashMap<>();
  private final Set<TargetId> begun = new HashSet<>();
  private volatile boolean anyBackoff;
  private volatile Consumer<FleetTarget> onBegin = target -> {};
  private volatile Consumer<ServiceId> onOver = service -> {};

  TargetBackoffs(MillisClock clock, Timers timers, RandomGenerator random, DecisionLog log) {
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.log = log;
  }

  /** Sets who is told of each rest that begins; called on any thread. */
  void onBegin(Consumer<FleetTarget> listener) {
    onBegin = listener;
  }

  /** Sets who looks again at the requests that wait for a target of a service. */
  void onOver(Consumer<ServiceId> listener) {
    onOver = listener;
  }

  /**
   * A target has asked for rest.
   *
   * @param target the run of the target; not null
   * @param backoffMs for how long; milliseconds, above 0
   */
  void ask(FleetTarget target, long backoffMs) {
    long mostSpreadMs = 1 + (long) Math.min(LONGEST_SPREAD_MS, SPREAD * backoffMs);
    boolean begins;
    long leftMs;
    synchronized (this) {
      long nowMs = clock.nowMs();
      leftMs = backoffMs + random.nextLong(mostSpreadMs);
      Long beforeMs = endsMs.get(target.id());
      begins = beforeMs == null || beforeMs <= nowMs;
      if (begins) {
        begun.add(target.id());
      }
      endsMs.merge(target.id(), nowMs + leftMs, Math::max);
      dropFirstToEnd();
      anyBackoff = true;
    }
    if (begins) {
      log.write("target_rest", "target={} rest_ms={}", target.id(), leftMs);
      onBegin.accept(target);
    }
    lookAgainAfter(target, leftMs);
  }

  private void dropFirstToEnd() {
    if (endsMs.size() > MOST_TARGETS) {
      endsMs.entrySet().stream()
          .min(Comparator.comparingLong(Map.Entry::getValue))
          .ifPresent(first -> endsMs.remove(first.getKey()));
    }
  }

  /** Timers may fire before the clock says so. */
  private void lookAgainAfter(FleetTarget target, long delayMs) {
    timers.schedule(
        () -> {
          long leftMs = leftMs(target.id());
          if (leftMs > 0) {
            lookAgainAfter(target, leftMs);
          } else {
            onOver.accept(target.service());
          }
        },
        delayMs);
  }

  /** Tells for how long a target is still left alone; milliseconds, 0 if it is not. */
  long leftMs(TargetId target) {
    if (!anyBackoff) {
      return 0;
    }
    synchronized (this) {
      Long endMs = endsMs.get(target);
      return endMs == null ? 0 : Math.max(0, endMs - clock.nowMs());
    }
  }

  /** Takes the rests that have begun since the last call, with what is left; milliseconds. */
  synchronized Map<TargetId, Long> takeBegun() {
    if (begun.isEmpty()) {
      return Map.of();
    }
    Map<TargetId, Long> leftMs = all();
    leftMs.keySet().retainAll(begun);
    begun.clear();
    return leftMs;
  }

  /** Returns for how long each target that rests is still left alone; milliseconds. */
  synchronized Map<TargetId, Long> all() {
    long nowMs = clock.nowMs();
    endsMs.values().removeIf(endMs -> endMs <= nowMs);
    anyBackoff = !endsMs.isEmpty();
    Map<TargetId, Long> leftMs = new HashMap<>();
    endsMs.forEach((target, endMs) -> leftMs.put(target, endMs - nowMs));
    return leftMs;
  }
}
