package io.cuminvalve.core.pace;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Gateways that send requests to targets with few slots, on virtual time: a fake for tests.
 *
 * <p>A request goes to one of the targets that its gateway may choose, drawn at random. A target
 * that is down, or whose queue is full, does not answer.
 */
final class PaceFleet {

  static final int TARGETS = 12;

  private static final ServiceId SERVICE = new ServiceId("files");
  private static final DataCentreId HERE = new DataCentreId("here");
  private static final int SLOTS = 4;
  private static final int QUEUE = 8;
  private static final long WARM_MS = 20;

  /** Half of what warm targets can take. */
  private static final double REQUESTS_PER_MS = 0.1 * TARGETS;

  private static final long NO_ANSWER_MS = 300;
  private static final long FIRST_PAUSE_MS = 250;
  private static final long MAX_PAUSE_MS = 4_000;

  /** Tells how many times slower than a warm target one is; 0 if it does not answer. */
  @FunctionalInterface
  interface Slowness {
    double of(int target, long nowMs);
  }

  /** An answer on its way to a gateway, or none. */
  private record Outcome(long atMs, int gateway, int target, long tookMs) {}

  private final boolean paced;
  private final Slowness slowness;
  private final SplittableRandom random;
  private final List<TargetPaces> gateways = new ArrayList<>();
  private final long[][] pausedUntilMs;
  private final int[][] failures;
  private final List<PriorityQueue<Long>> busyUntilMs = new ArrayList<>();
  private final PriorityQueue<Outcome> outcomes =
      new PriorityQueue<>(Comparator.comparingLong(Outcome::atMs));
  private final List<Long> sentMs = new ArrayList<>();
  private double peerMeanMs = WARM_MS;
  private long nowMs;
  private int late;
  private int missing;

  PaceFleet(int gatewayCount, boolean paced, Slowness slowness, long seed) {
    this.paced = paced;
    this.slowness = slowness;
    this.random = new SplittableRandom(seed);
    this.pausedUntilMs = new long[gatewayCount][TARGETS];
    this.failures = new int[gatewayCount][TARGETS];
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new TargetPaces(random.split()));
    }
    for (int i = 0; i < TARGETS; i++) {
      busyUntilMs.add(new PriorityQueue<>(Collections.nCopies(SLOTS, 0L)));
    }
  }

  static TargetId id(int target) {
    return new TargetId("files-" + target);
  }

  /** Sets which targets are registered. */
  PaceFleet register(IntPredicate registered) {
    List<FleetTarget> ready =
        IntStream.range(0, TARGETS)
            .filter(registered)
            .mapToObj(i -> new FleetTarget(id(i), SERVICE, "a", HERE, SLOTS, TargetPhase.READY, 0))
            .toList();
    gateways.forEach(paces -> paces.onTargets(ready, gateways.size(), nowMs));
    return this;
  }

  /** Sends requests for a time to registered targets, of which the last ones are observed. */
  PaceFleet run(long durationMs, int observedFrom) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
      while (!outcomes.isEmpty() && outcomes.peek().atMs() <= nowMs) {
        onOutcome(outcomes.poll(), observedFrom);
      }
      double left = REQUESTS_PER_MS;
      while (random.nextDouble() < left) {
        send(random.nextInt(gateways.size()), observedFrom);
        left -= 1;
      }
    }
    return this;
  }

  private void send(int gateway, int observedFrom) {
    List<Integer> chosen =
        IntStream.range(0, TARGETS).filter(t -> mayUse(gateway, t)).boxed().toList();
    if (chosen.isEmpty()) {
      return;
    }
    int target = chosen.get(random.nextInt(chosen.size()));
    if (target >= observedFrom) {
      sentMs.add(nowMs);
    }
    double factor = slowness.of(target, nowMs);
    PriorityQueue<Long> slots = busyUntilMs.get(target);
    long workMs = (long) (factor * WARM_MS * (0.5 + random.nextDouble()));
    long startMs = Math.max(nowMs, slots.peek());
    boolean full = startMs - nowMs > QUEUE * factor * WARM_MS / SLOTS;
    if (factor == 0 || full) {
      outcomes.add(new Outcome(nowMs + NO_ANSWER_MS, gateway, target, -1));
      return;
    }
    slots.poll();
    slots.add(startMs + workMs);
    outcomes.add(
        new Outcome(startMs + workMs, gateway, target, Math.max(1, startMs + workMs - nowMs)));
  }

  private boolean mayUse(int gateway, int target) {
    if (pausedUntilMs[gateway][target] > nowMs) {
      return false;
    }
    return !paced || gateways.get(gateway).drawShare(id(target), nowMs) == 1;
  }

  private void onOutcome(Outcome outcome, int observedFrom) {
    TargetPaces paces = gateways.get(outcome.gateway());
    int target = outcome.target();
    if (outcome.tookMs() < 0) {
      missing += target >= observedFrom ? 1 : 0;
      int row = failures[outcome.gateway()][target]++;
      long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(row, 4));
      pausedUntilMs[outcome.gateway()][target] = nowMs + pauseMs;
      paces.onMissing(id(target), nowMs);
      return;
    }
    failures[outcome.gateway()][target] = 0;
    if (target >= observedFrom) {
      late += outcome.tookMs() > 2 * peerMeanMs ? 1 : 0;
    } else {
      peerMeanMs += 0.02 * (outcome.tookMs() - peerMeanMs);
    }
    paces.onAnswer(id(target), outcome.tookMs() / peerMeanMs, nowMs);
  }

  /** Returns the mean share of a target over all gateways. */
  double meanShare(int target) {
    return gateways.stream().mapToDouble(g -> g.shareOf(id(target), nowMs)).average().orElse(1);
  }

  /** Returns how many targets any gateway paces. */
  int paced() {
    return gateways.stream().mapToInt(TargetPaces::size).sum();
  }

  /** Returns how many requests to observed targets took more than twice the mean of the peers. */
  int late() {
    return late;
  }

  /** Returns how many requests to observed targets got no answer. */
  int missing() {
    return missing;
  }

  /** Returns when requests went to observed targets. */
  List<Long> sentMs() {
    return sentMs;
  }
}
