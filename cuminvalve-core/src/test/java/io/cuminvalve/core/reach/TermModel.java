package io.cuminvalve.core.reach;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

/**
 * Gateways that compete for the term on virtual time, while some of them reach few targets.
 *
 * <p>The store grants the term to the first candidate that writes its key, so two gateways never
 * hold it at once in this model. In the program, a holder that gives it up closes its coordinator
 * on the control thread before it ends the lease of the store; the check before the first byte of
 * an order then withholds every order still queued, and later terms have higher tokens.
 */
final class TermModel {

  private static final long STEP_MS = 10;
  private static final long HELLO_INTERVAL_MS = 300;
  private static final long CHECK_INTERVAL_MS = 200;

  /** Time until a gateway knows that it has lost or regained its path. */
  private static final long MIN_DETECTION_MS = 200;

  private static final long MAX_DETECTION_MS = 1_000;
  private static final long STORE_CALL_MS = 20;

  private static final class Gateway {
    private ReachShare actual = new ReachShare(20, 0);
    private ReachShare known = actual;
    private ReachShare told = actual;
    private long knownAtMs;
    private long nextHelloMs;
    private long acquiresAtMs = Long.MAX_VALUE;
    private TermFitness fitness = new TermFitness();
  }

  private final boolean yields;
  private final SplittableRandom random;
  private final List<Gateway> gateways = new ArrayList<>();
  private OptionalInt holder = OptionalInt.empty();
  private long nowMs;
  private int terms;
  private long vacantMs;
  private long longestVacantMs;

  TermModel(boolean yields, int gatewayCount, int firstHolder, long seed) {
    this.yields = yields;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < gatewayCount; i++) {
      Gateway gateway = new Gateway();
      gateway.nextHelloMs = random.nextLong(HELLO_INTERVAL_MS);
      gateways.add(gateway);
    }
    holder = OptionalInt.of(firstHolder);
    terms = 1;
  }

  void setReach(int gateway, int reachable, int unreachable) {
    Gateway changed = gateways.get(gateway);
    changed.actual = new ReachShare(reachable, unreachable);
    changed.knownAtMs = nowMs + random.nextLong(MIN_DETECTION_MS, MAX_DETECTION_MS);
  }

  OptionalInt holder() {
    return holder;
  }

  double holderShare() {
    return holder.isPresent() ? gateways.get(holder.getAsInt()).actual.value() : 0;
  }

  int terms() {
    return terms;
  }

  long longestVacantMs() {
    return longestVacantMs;
  }

  void run(long forMs) {
    for (long untilMs = nowMs + forMs; nowMs < untilMs; nowMs += STEP_MS) {
      gateways.forEach(this::learn);
      if (holder.isPresent()) {
        checkHolder(gateways.get(holder.getAsInt()));
      } else {
        letCandidatesTry();
      }
    }
  }

  private void learn(Gateway gateway) {
    boolean changes = !gateway.known.equals(gateway.actual) && nowMs >= gateway.knownAtMs;
    if (changes) {
      gateway.known = gateway.actual;
    }
    if (changes || nowMs >= gateway.nextHelloMs) {
      gateway.told = gateway.known;
      gateway.nextHelloMs = nowMs + HELLO_INTERVAL_MS;
    }
  }

  private void checkHolder(Gateway current) {
    vacantMs = 0;
    if (!yields || nowMs % CHECK_INTERVAL_MS != 0) {
      return;
    }
    List<ReachShare> others =
        gateways.stream().filter(other -> other != current).map(other -> other.told).toList();
    if (current.fitness.shouldYield(current.known, others, nowMs)) {
      holder = OptionalInt.empty();
      gateways.forEach(this::startCandidacy);
    }
  }

  private void startCandidacy(Gateway gateway) {
    long spreadMs = random.nextLong(60, 250);
    long extraMs = TermFitness.candidateDelayMs(gateway.known);
    gateway.acquiresAtMs = nowMs + STORE_CALL_MS + spreadMs + extraMs;
    gateway.fitness = new TermFitness();
  }

  private void letCandidatesTry() {
    vacantMs += STEP_MS;
    longestVacantMs = Math.max(longestVacantMs, vacantMs);
    for (int i = 0; i < gateways.size() && holder.isEmpty(); i++) {
      if (nowMs >= gateways.get(i).acquiresAtMs) {
        holder = OptionalInt.of(i);
        terms++;
      }
    }
  }
}
