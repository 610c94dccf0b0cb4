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
 * Tracks the targets that asked this gateway for a back-off, and when it ends.
 *
 * <p>A back-off applies to one run of a target; the next run under the same name starts without
 * one. It is measured by a clock that never runs ahead of the elapsed time. Thread-safe.
 */
final class TargetBackoffs {

  /** Bounds the memory, even if every target of a large fleet asks for a back-off. */
  static final int MAX_TARGETS = 1_024;

  /** Random share added to each back-off, so that gateways do not return at the same time. */
  private static final double JITTER = 0.1;

  private static final long MAX_JITTER_MS = 250;

  private final MillisClock clock;
  private final Timers timers;
  private final RandomGenerator random;
  private final DecisionLog log;
  private final Map<TargetId, Long> endsMs = new HashMap<>();
  private final Set<TargetId> unreportedStarts = new HashSet<>();
  private volatile boolean anyBackoff;
  private volatile Consumer<FleetTarget> onStart = target -> {};
  private volatile Consumer<ServiceId> onEnd = service -> {};

  TargetBackoffs(MillisClock clock, Timers timers, RandomGenerator random, DecisionLog log) {
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.log = log;
  }

  /** Sets the listener for started back-offs; called on any thread. */
  void onStart(Consumer<FleetTarget> listener) {
    onStart = listener;
  }

  /** Sets the listener that serves the waiting requests of a service after a back-off. */
  void onEnd(Consumer<ServiceId> listener) {
    onEnd = listener;
  }

  /**
   * Starts or extends the back-off of a target.
   *
   * @param target the run of the target; not null
   * @param backoffMs the length that the target asked for; milliseconds, above 0
   */
  void start(FleetTarget target, long backoffMs) {
    long jitterBoundMs = 1 + (long) Math.min(MAX_JITTER_MS, JITTER * backoffMs);
    boolean starts;
    long remainingMs;
    synchronized (this) {
      long nowMs = clock.nowMs();
      remainingMs = backoffMs + random.nextLong(jitterBoundMs);
      Long previousEndMs = endsMs.get(target.id());
      starts = previousEndMs == null || previousEndMs <= nowMs;
      if (starts) {
        unreportedStarts.add(target.id());
      }
      endsMs.merge(target.id(), nowMs + remainingMs, Math::max);
      evictEarliestEnding();
      anyBackoff = true;
    }
    if (starts) {
      log.write("target_rest", "target={} rest_ms={}", target.id(), remainingMs);
      onStart.accept(target);
    }
    scheduleEnd(target, remainingMs);
  }

  private void evictEarliestEnding() {
    if (endsMs.size() > MAX_TARGETS) {
      endsMs.entrySet().stream()
          .min(Comparator.comparingLong(Map.Entry::getValue))
          .ifPresent(earliest -> endsMs.remove(earliest.getKey()));
    }
  }

  /** Schedules the end of a back-off; timers may fire before the clock reaches it. */
  private void scheduleEnd(FleetTarget target, long delayMs) {
    timers.schedule(
        () -> {
          long remainingMs = remainingMs(target.id());
          if (remainingMs > 0) {
            scheduleEnd(target, remainingMs);
          } else {
            onEnd.accept(target.service());
          }
        },
        delayMs);
  }

  /** Returns the remaining back-off of a target in milliseconds; 0 if it has none. */
  long remainingMs(TargetId target) {
    if (!anyBackoff) {
      return 0;
    }
    synchronized (this) {
      Long endMs = endsMs.get(target);
      return endMs == null ? 0 : Math.max(0, endMs - clock.nowMs());
    }
  }

  /** Returns the remaining milliseconds of the back-offs started since the last call. */
  synchronized Map<TargetId, Long> takeStarted() {
    if (unreportedStarts.isEmpty()) {
      return Map.of();
    }
    Map<TargetId, Long> remainingMs = remainingMsByTarget();
    remainingMs.keySet().retainAll(unreportedStarts);
    unreportedStarts.clear();
    return remainingMs;
  }

  /** Returns the remaining milliseconds of all current back-offs by target. */
  synchronized Map<TargetId, Long> remainingMsByTarget() {
    long nowMs = clock.nowMs();
    endsMs.values().removeIf(endMs -> endMs <= nowMs);
    anyBackoff = !endsMs.isEmpty();
    Map<TargetId, Long> remainingMs = new HashMap<>();
    endsMs.forEach((target, endMs) -> remainingMs.put(target, endMs - nowMs));
    return remainingMs;
  }
}
