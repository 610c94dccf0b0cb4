package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Gives requests a slot at a target, at once or as soon as there is one.
 *
 * <p>All gateways together must not fill the queue of a target, since some targets never answer
 * what they cannot queue: each gateway keeps to its even part. Requests that wait are served by
 * priority, then in the order of arrival. A key goes to its owner only; a request without a key
 * goes where it is likely to be answered first.
 *
 * @since 0.2
 */
final class Dispatcher {

  /** Requests that all gateways together may have at a target, for each of its slots. */
  private static final int REQUESTS_PER_SLOT = 6;

  /**
   * A target in another data centre counts as this many times slower, for a small request: enough
   * to stay at home if nothing else speaks for either.
   */
  private static final double REMOTE_COST = 1.25;

  /**
   * Bytes between data centres are paid for: so many, of the request and its answer together, add
   * as much again. An upload of 60 KB that crosses costs a fifth of what its answer is worth. How
   * large an answer will be is not known; the mean of its route is.
   */
  private static final double REMOTE_BYTES = 40_000;

  /** Costs differ by up to this share at random, so that gateways do not all choose the same. */
  private static final double SPREAD = 0.2;

  /** When the caller of a request whose key cannot move should come back. */
  private static final long LEAST_STUCK_MS = 500;

  private static final long MOST_STUCK_MS = 5_000;

  /** Requests wait for the end of a rest that is shorter. */
  private static final long SHORT_REST_MS = 50;

  /** Weight of the newest answer in the mean time of a route. */
  private static final double NEWEST = 0.05;

  private final RoutingState state;
  private final DataCentreId dataCentre;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final TargetQuotas quotas;
  private final TargetRests rests;
  private final Map<TargetId, TargetSlots> slotsByTarget = new HashMap<>();
  private final Map<ServiceId, PriorityQueue<PlacementWish>> waiting = new HashMap<>();
  private final Map<String, Double> meanTimeByRouteMs = new HashMap<>();
  private final Map<String, Double> meanAnswerByRouteBytes = new HashMap<>();
  private final Set<TargetId> replaced = new HashSet<>();
  private final List<TargetId> replacedUnreported = new ArrayList<>();
  private long nextOrder;

  Dispatcher(
      RoutingState state,
      DataCentreId dataCentre,
      MillisClock clock,
      RandomGenerator random,
      TargetQuotas quotas,
      TargetRests rests) {
    this.state = state;
    this.dataCentre = dataCentre;
    this.clock = clock;
    this.random = random;
    this.quotas = quotas;
    this.rests = rests;
    state.onChange(this::onRoutingChanged);
    quotas.onUsable(this::serveWaiting);
    rests.onOver(this::serveWaiting);
  }

  /** Places a request now, or as soon as it can be; refuses one that waits in vain. */
  void submit(PlacementWish wish) {
    Optional<Slot> slot;
    Optional<TargetRefusal> refusal = Optional.empty();
    synchronized (this) {
      RoutingSnapshot snapshot = state.current();
      wish.setOrder(nextOrder++);
      slot = tryPlace(wish, snapshot);
      if (slot.isEmpty()) {
        refusal = refusalOf(wish, snapshot);
      }
      if (slot.isEmpty() && refusal.isEmpty()) {
        waiting.computeIfAbsent(wish.service(), id -> newQueue()).add(wish);
      }
    }
    slot.ifPresent(wish::placed);
    refusal.ifPresent(wish::refused);
  }

  /** Tells whether a request has to be refused at once: its owner cannot bear all of its kind. */
  boolean turnsAway(PlacementWish wish) {
    if (wish.key().isEmpty()) {
      return false;
    }
    int refusedPercent =
        state
            .current()
            .owners(wish.service())
            .flatMap(owners -> owners.find(wish.key().getAsInt()))
            .map(RangeRoute::refusedPercent)
            .orElse(0);
    synchronized (this) {
      return refusedPercent > 0 && random.nextInt(100) < refusedPercent;
    }
  }

  /** Withdraws a request that waits. Tells whether it did. */
  synchronized boolean withdraw(PlacementWish wish) {
    PriorityQueue<PlacementWish> queue = waiting.get(wish.service());
    return queue != null && queue.remove(wish);
  }

  /** Says why a request that waits cannot be placed, for the log. */
  synchronized String whyWaiting(PlacementWish wish) {
    RoutingSnapshot snapshot = state.current();
    if (wish.key().isEmpty()) {
      return snapshot.ready(wish.service()).isEmpty() ? "no_target" : "targets_busy";
    }
    Optional<RangeRoute> range =
        snapshot.owners(wish.service()).flatMap(owners -> owners.find(wish.key().getAsInt()));
    if (range.isEmpty()) {
      return "owner_unknown";
    }
    if (!range.get().open()) {
      return "key_on_the_move";
    }
    if (rests.leftMs(range.get().owner()) > 0) {
      return "owner_resting";
    }
    if (quotas.isLimited(range.get().owner())) {
      return "limit_unanswered";
    }
    boolean usable = snapshot.target(range.get().owner()).filter(FleetTarget::isReady).isPresent();
    return usable ? "owner_busy" : "owner_leaving";
  }

  /** Gives a slot back and learns from how the attempt went. */
  void giveBack(Slot slot, PlacementWish wish, AttemptEnd end, long tookMs) {
    synchronized (this) {
      TargetSlots slots = slotsOf(slot.target(), state.current());
      slots.giveBack();
      learn(slots, wish.route().name(), end, tookMs);
      learnSize(wish);
    }
    serveWaiting(slot.target().service());
  }

  /** A target has asked for rest: afterwards it gets one request first, then slowly more. */
  void onRest(FleetTarget target) {
    synchronized (this) {
      slotsOf(target, state.current()).onRest();
    }
    serveWaiting(target.service());
  }

  /** Another target answers at the address of this one: it has ended, whatever is registered. */
  synchronized void onReplaced(TargetId target) {
    if (replaced.add(target)) {
      replacedUnreported.add(target);
    }
  }

  /** Tells whether another target has answered at the address of this one. */
  synchronized boolean isReplaced(TargetId target) {
    return replaced.contains(target);
  }

  /** Returns the targets found replaced since the last call. */
  synchronized List<TargetId> takeReplaced() {
    List<TargetId> taken = List.copyOf(replacedUnreported);
    replacedUnreported.clear();
    return taken;
  }

  /** Returns how long requests of a route take, over all targets; milliseconds. */
  synchronized long meanTimeMs(String route) {
    return meanTimeByRouteMs.getOrDefault(route, 0.0).longValue();
  }

  private void learn(TargetSlots slots, String route, AttemptEnd end, long tookMs) {
    switch (end) {
      case ANSWERED -> {
        double mean = meanTimeByRouteMs.getOrDefault(route, Math.max(1.0, tookMs));
        slots.onAnswer(tookMs / mean);
        meanTimeByRouteMs.put(route, Math.max(1.0, mean + NEWEST * (tookMs - mean)));
      }
      case FAILED -> slots.onFailedAnswer();
      case NO_ANSWER -> slots.onNoAnswer(clock.nowMs());
      default -> {
        // It says nothing of the target.
      }
    }
  }

  private void learnSize(PlacementWish wish) {
    wish.answerBytes()
        .ifPresent(
            bytes ->
                meanAnswerByRouteBytes.merge(
                    wish.route().name(),
                    (double) bytes,
                    (mean, newest) -> mean + NEWEST * (newest - mean)));
  }

  private void onRoutingChanged() {
    List<ServiceId> services;
    synchronized (this) {
      services = List.copyOf(waiting.keySet());
      Predicate<TargetId> isGone = id -> state.current().target(id).isEmpty();
      replaced.removeIf(isGone);
      slotsByTarget.entrySet().removeIf(e -> e.getValue().inUse() == 0 && isGone.test(e.getKey()));
    }
    services.forEach(this::serveWaiting);
  }

  /** Looks at those that wait once more, for example because a pause is over. */
  void serveWaiting(ServiceId service) {
    Map<PlacementWish, Slot> placed = new HashMap<>();
    Map<PlacementWish, TargetRefusal> refused = new HashMap<>();
    synchronized (this) {
      PriorityQueue<PlacementWish> queue = waiting.get(service);
      if (queue == null || queue.isEmpty()) {
        return;
      }
      placeFrom(queue, placed, refused);
    }
    placed.forEach(PlacementWish::placed);
    refused.forEach(PlacementWish::refused);
  }

  private void placeFrom(
      PriorityQueue<PlacementWish> queue,
      Map<PlacementWish, Slot> placed,
      Map<PlacementWish, TargetRefusal> refused) {
    RoutingSnapshot snapshot = state.current();
    List<PlacementWish> left = new ArrayList<>();
    while (!queue.isEmpty()) {
      PlacementWish wish = queue.poll();
      Optional<Slot> slot = tryPlace(wish, snapshot);
      Optional<TargetRefusal> refusal =
          slot.isPresent() ? Optional.empty() : refusalOf(wish, snapshot);
      if (slot.isPresent()) {
        placed.put(wish, slot.get());
      } else if (refusal.isPresent()) {
        refused.put(wish, refusal.get());
      } else {
        left.add(wish);
      }
    }
    queue.addAll(left);
  }

  private Optional<Slot> tryPlace(PlacementWish wish, RoutingSnapshot snapshot) {
    Optional<FleetTarget> target =
        wish.key().isPresent() ? ownerOf(wish, snapshot) : bestOf(wish, snapshot);
    return target.map(
        found -> {
          slotsOf(found, snapshot).take();
          wish.placedUnder(snapshot.ownersVersion());
          return new Slot(found, clock.upper());
        });
  }

  private Optional<FleetTarget> ownerOf(PlacementWish wish, RoutingSnapshot snapshot) {
    if (!wish.accepts(snapshot.ownersVersion())) {
      return Optional.empty();
    }
    return usableOwnerOf(wish, snapshot)
        .filter(target -> hasRoom(target, snapshot))
        .filter(target -> quotas.take(target, wish.route().priority()));
  }

  private static Optional<FleetTarget> usableOwnerOf(PlacementWish wish, RoutingSnapshot snapshot) {
    return snapshot
        .owners(wish.service())
        .flatMap(owners -> owners.find(wish.key().getAsInt()))
        .filter(RangeRoute::open)
        .flatMap(range -> snapshot.target(range.owner()))
        .filter(FleetTarget::isReady);
  }

  /** Tells whether nothing that may run the request takes it before it would have waited long. */
  private Optional<TargetRefusal> refusalOf(PlacementWish wish, RoutingSnapshot snapshot) {
    List<FleetTarget> targets =
        wish.key().isPresent()
            ? usableOwnerOf(wish, snapshot).stream().toList()
            : untried(wish, snapshot);
    if (targets.isEmpty()) {
      return refusalOfStuckKey(wish, snapshot);
    }
    int priority = wish.route().priority();
    FleetTarget first = null;
    long firstMs = Long.MAX_VALUE;
    for (FleetTarget target : targets) {
      long refusedForMs = refusedForMs(target.id(), priority);
      if (refusedForMs == 0) {
        return Optional.empty();
      }
      if (refusedForMs < firstMs) {
        first = target;
        firstMs = refusedForMs;
      }
    }
    return Optional.ofNullable(first).map(target -> refuse(target.id(), priority));
  }

  /** Nobody knows when the store answers again: the longer it has not, the later. */
  private Optional<TargetRefusal> refusalOfStuckKey(PlacementWish wish, RoutingSnapshot snapshot) {
    OptionalLong sinceMs = state.movesHeldUpSinceMs();
    if (wish.key().isEmpty() || sinceMs.isEmpty()) {
      return Optional.empty();
    }
    long heldUpMs = clock.nowMs() - sinceMs.getAsLong();
    long retryAfterMs = Math.max(LEAST_STUCK_MS, Math.min(MOST_STUCK_MS, heldUpMs));
    return snapshot
        .owners(wish.service())
        .flatMap(owners -> owners.find(wish.key().getAsInt()))
        .map(range -> TargetRefusal.forStuckKey(range.owner(), retryAfterMs));
  }

  private long refusedForMs(TargetId target, int priority) {
    long restMs = rests.leftMs(target);
    return Math.max(
        restMs > SHORT_REST_MS ? restMs : 0, quotas.refusedForMs(target, priority).orElse(0));
  }

  private TargetRefusal refuse(TargetId target, int priority) {
    long restMs = rests.leftMs(target);
    return restMs > SHORT_REST_MS
        ? TargetRefusal.forRest(target, restMs)
        : quotas.refuse(target, priority);
  }

  private static List<FleetTarget> untried(PlacementWish wish, RoutingSnapshot snapshot) {
    List<FleetTarget> ready = snapshot.ready(wish.service());
    List<FleetTarget> left = ready.stream().filter(t -> !wish.tried().contains(t.id())).toList();
    return left.isEmpty() ? ready : left;
  }

  private Optional<FleetTarget> bestOf(PlacementWish wish, RoutingSnapshot snapshot) {
    Set<TargetId> skipped = new HashSet<>(skippedBy(wish, snapshot));
    int priority = wish.route().priority();
    Optional<FleetTarget> best = cheapestOf(wish, skipped, snapshot);
    while (best.isPresent() && !quotas.take(best.get(), priority)) {
      skipped.add(best.get().id());
      best = cheapestOf(wish, skipped, snapshot);
    }
    return best;
  }

  private Optional<FleetTarget> cheapestOf(
      PlacementWish wish, Set<TargetId> skipped, RoutingSnapshot snapshot) {
    FleetTarget best = null;
    double bestCost = Double.MAX_VALUE;
    int priority = wish.route().priority();
    for (FleetTarget target : snapshot.ready(wish.service())) {
      boolean usable = !skipped.contains(target.id()) && hasRoom(target, snapshot);
      if (!usable || quotas.refusedForMs(target.id(), priority).isPresent()) {
        continue;
      }
      double cost = slotsOf(target, snapshot).cost(target.slots());
      cost *= target.dataCentre().equals(dataCentre) ? 1 : remoteCost(wish);
      cost *= 1 + SPREAD * random.nextDouble();
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double remoteCost(PlacementWish wish) {
    double answerBytes = meanAnswerByRouteBytes.getOrDefault(wish.route().name(), 0.0);
    return REMOTE_COST + (wish.bodyBytes() + answerBytes) / REMOTE_BYTES;
  }

  /** Targets tried before and those in a pause; none of them if there is no other. */
  private Set<TargetId> skippedBy(PlacementWish wish, RoutingSnapshot snapshot) {
    long nowMs = clock.nowMs();
    Set<TargetId> skipped = new HashSet<>(wish.tried());
    boolean othersLeft = false;
    for (FleetTarget target : snapshot.ready(wish.service())) {
      if (slotsOf(target, snapshot).isPaused(nowMs)) {
        skipped.add(target.id());
      }
      othersLeft |= !skipped.contains(target.id());
    }
    return othersLeft ? skipped : wish.tried();
  }

  private boolean hasRoom(FleetTarget target, RoutingSnapshot snapshot) {
    return !replaced.contains(target.id())
        && rests.leftMs(target.id()) == 0
        && slotsOf(target, snapshot).hasRoom();
  }

  private TargetSlots slotsOf(FleetTarget target, RoutingSnapshot snapshot) {
    TargetSlots known = slotsByTarget.get(target.id());
    if (known != null) {
      return known;
    }
    double forAll = (double) target.slots() * REQUESTS_PER_SLOT;
    double evenPart = Math.max(1, Math.rint(forAll / snapshot.processes()));
    TargetSlots created = new TargetSlots(evenPart, target.slots());
    slotsByTarget.put(target.id(), created);
    return created;
  }

  /** Returns how long targets took since the last call. */
  synchronized TargetLatencyReport takeTimes() {
    List<TargetLatency> times = new ArrayList<>();
    slotsByTarget.forEach((id, slots) -> slots.takeTime(id).ifPresent(times::add));
    return new TargetLatencyReport(times);
  }

  /** Returns how many requests wait. */
  synchronized int waitingCount() {
    int count = 0;
    for (Iterator<PriorityQueue<PlacementWish>> i = waiting.values().iterator(); i.hasNext(); ) {
      count += i.next().size();
    }
    return count;
  }

  private static PriorityQueue<PlacementWish> newQueue() {
    return new PriorityQueue<>(
        Comparator.comparingInt((PlacementWish wish) -> wish.route().priority())
            .thenComparingLong(PlacementWish::order));
  }
}
