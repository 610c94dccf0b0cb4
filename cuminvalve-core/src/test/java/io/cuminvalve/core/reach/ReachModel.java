package io.cuminvalve.core.reach;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntToLongFunction;

/**
 * A fleet of gateways and targets on virtual time, in which links of gateways are cut.
 *
 * <p>Each request has one target, the owner of its key. It is tried up to four times within its
 * time, and passed on to a peer that reaches the targets if the gateway counts its own path as lost
 * and knows such a peer.
 */
final class ReachModel {

  /** How gateways learn which targets they reach. */
  enum Way {
    /** They do not. */
    NONE,
    /** From failures at the target itself. */
    PER_TARGET,
    /** From failures at several targets. */
    INFERENCE
  }

  /** What became of first tries in a span of time. */
  static final class Tries {
    private int sent;
    private int served;
    private int relayed;
    private long longestHeldMs;

    int sent() {
      return sent;
    }

    int relayed() {
      return relayed;
    }

    long longestHeldMs() {
      return longestHeldMs;
    }

    double servedShare() {
      return sent == 0 ? 1 : (double) served / sent;
    }
  }

  private static final long DEADLINE_MS = 1_000;
  private static final int MAX_TRIES = 4;
  private static final long RELAY_MS = 10;
  private static final long PER_TARGET_PAUSE_MS = 250;

  /** Time after which peers know that a gateway has lost or regained its path. */
  private static final long PEERS_KNOW_AFTER_MS = 600;

  private static final long TICK_MS = 25;

  private final Way way;
  private final SplittableRandom random;
  private final List<TargetId> targets = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final Set<TargetId> ended = new HashSet<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final IntToLongFunction meanIntervalMs;
  private long nowMs;
  private long order;
  private double lossShare;

  ReachModel(Way way, int gatewayCount, int targetCount, long seed, long meanIntervalMs) {
    this.way = way;
    this.random = new SplittableRandom(seed);
    this.meanIntervalMs = any -> meanIntervalMs;
    for (int i = 0; i < targetCount; i++) {
      targets.add(new TargetId("t" + i));
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway(i));
    }
    gateways.forEach(Gateway::start);
  }

  /** Loses a share of all connection requests. */
  void loseConnectionRequests(double share) {
    lossShare = share;
  }

  void setLink(int gateway, LinkState link) {
    gateways.get(gateway).setLink(link);
  }

  void endTarget(int target) {
    ended.add(targets.get(target));
    gateways.forEach(gateway -> gateway.old.remove(targets.get(target)));
  }

  void unregisterEnded() {
    targets.removeAll(ended);
    gateways.forEach(gateway -> gateway.reach.setTargets(targets));
  }

  long nowMs() {
    return nowMs;
  }

  boolean isLost(int gateway) {
    return gateways.get(gateway).reach.isLost();
  }

  /** Runs and returns what became of the requests that arrived meanwhile, per gateway. */
  List<Tries> run(long forMs) {
    gateways.forEach(gateway -> gateway.tries = new Tries());
    long untilMs = nowMs + forMs;
    while (!events.isEmpty() && events.peek().atMs <= untilMs) {
      Event next = events.poll();
      nowMs = next.atMs;
      next.task.run();
    }
    nowMs = untilMs;
    return gateways.stream().map(gateway -> gateway.tries).toList();
  }

  private void schedule(long delayMs, Runnable task) {
    events.add(new Event(nowMs + delayMs, order++, task));
  }

  private record Event(long atMs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final class Gateway {
    private final int number;
    private final TargetReach reach = new TargetReach();
    private final Set<TargetId> old = new HashSet<>();
    private final Map<TargetId, Long> pausedUntilMs = new HashMap<>();
    private LinkState link = LinkState.OPEN;
    private boolean offersRelay = true;
    private Tries tries = new Tries();

    Gateway(int number) {
      this.number = number;
      reach.setTargets(targets);
    }

    void start() {
      schedule(1 + number, this::arrive);
      schedule(TICK_MS, this::tick);
    }

    void setLink(LinkState now) {
      link = now;
      if (now.resetsOld()) {
        old.clear();
      }
    }

    private void tick() {
      schedule(TICK_MS, this::tick);
      reach.takeProbes(nowMs).forEach(this::probe);
      boolean lost = reach.isLost();
      if (lost == offersRelay) {
        schedule(PEERS_KNOW_AFTER_MS, () -> offersRelay = !reach.isLost());
      }
    }

    private void probe(TargetId target) {
      LinkState before = link;
      boolean fails = before.breaks(false) || ended.contains(target) || isConnectionLost();
      if (fails) {
        ConnectFailure failure = failureAt(target, before);
        schedule(delayOf(failure), () -> reach.onProbeFailed(target, failure, nowMs));
      } else {
        schedule(1, () -> reach.onProbeConnected(target, nowMs));
      }
    }

    private boolean isConnectionLost() {
      return lossShare > 0 && random.nextDouble() < lossShare;
    }

    private ConnectFailure failureAt(TargetId target, LinkState before) {
      if (before.breaks(false)) {
        return before.failure();
      }
      return ended.contains(target) ? ConnectFailure.REFUSED : ConnectFailure.TIMEOUT;
    }

    private long delayOf(ConnectFailure failure) {
      return failure == ConnectFailure.TIMEOUT ? 300 : 2;
    }

    private void arrive() {
      schedule(1 + random.nextLong(2 * meanIntervalMs.applyAsLong(number)), this::arrive);
      if (targets.isEmpty()) {
        return;
      }
      TargetId owner = targets.get(random.nextInt(targets.size()));
      Request request = new Request(owner, nowMs, tries);
      request.tries.sent++;
      submit(request);
    }

    private void submit(Request request) {
      if (nowMs >= request.arrivedMs + DEADLINE_MS || request.count >= MAX_TRIES) {
        return;
      }
      if (mayTry(request.target)) {
        request.count++;
        attempt(request);
      } else if (isRelayKnown()) {
        request.tries.relayed++;
        boolean runs = !ended.contains(request.target);
        schedule(RELAY_MS + serviceTimeMs(), () -> end(request, runs));
      }
    }

    private boolean isRelayKnown() {
      return gateways.stream()
          .anyMatch(peer -> peer != this && peer.offersRelay && !peer.link.breaks(false));
    }

    private boolean mayTry(TargetId target) {
      return switch (way) {
        case NONE -> true;
        case PER_TARGET -> pausedUntilMs.getOrDefault(target, 0L) <= nowMs;
        case INFERENCE ->
            reach.isReachable(target) || (!isRelayKnown() && reach.isAnswering(target, nowMs));
      };
    }

    private long serviceTimeMs() {
      return 10 + random.nextLong(120);
    }

    private void attempt(Request request) {
      TargetId target = request.target;
      reach.onSent(target, nowMs);
      LinkState before = link;
      boolean usesOld = old.contains(target) && random.nextInt(4) > 0;
      if (usesOld) {
        schedule(
            serviceTimeMs(),
            () -> {
              if (before.breaks(true) || link.breaks(true)) {
                onOldBroken(request);
              } else {
                answer(request);
              }
            });
      } else if (before.breaks(false) || ended.contains(target) || isConnectionLost()) {
        ConnectFailure failure = failureAt(target, before);
        schedule(delayOf(failure), () -> onConnectFailed(request, failure));
      } else {
        schedule(serviceTimeMs(), () -> answer(request));
      }
    }

    private void onOldBroken(Request request) {
      if (link.resetsOld()) {
        old.remove(request.target);
        reach.onEnded(request.target);
        reach.onDoubt(request.target, nowMs);
        submit(request);
      } else {
        long leftMs = Math.max(0, request.arrivedMs + DEADLINE_MS - nowMs);
        schedule(leftMs, () -> giveUp(request));
      }
    }

    private void giveUp(Request request) {
      reach.onEnded(request.target);
      end(request, false);
    }

    private void onConnectFailed(Request request, ConnectFailure failure) {
      reach.onEnded(request.target);
      reach.onConnectFailed(request.target, failure, nowMs);
      pausedUntilMs.put(request.target, nowMs + PER_TARGET_PAUSE_MS);
      submit(request);
    }

    private void answer(Request request) {
      reach.onEnded(request.target);
      if (ended.contains(request.target)) {
        submit(request);
        return;
      }
      reach.onAnswer(request.target, nowMs);
      old.add(request.target);
      end(request, true);
    }

    private void end(Request request, boolean served) {
      long heldMs = nowMs - request.arrivedMs;
      request.tries.longestHeldMs = Math.max(request.tries.longestHeldMs, heldMs);
      request.tries.served += served && heldMs <= DEADLINE_MS ? 1 : 0;
    }
  }

  private static final class Request {
    private final TargetId target;
    private final long arrivedMs;
    private final Tries tries;
    private int count;

    Request(TargetId target, long arrivedMs, Tries tries) {
      this.target = target;
      this.arrivedMs = arrivedMs;
      this.tries = tries;
    }
  }
}
