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
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Assigns requests to slots of targets and queues those for which no slot is free.
 *
 * <p>Some targets never respond to requests that do not fit into their queue, so all gateways
 * together must not overfill it: each gateway starts with an equal share of the target's capacity.
 * Queued requests are served by priority, then in order of arrival. A keyed request goes only to
 * the owner of its key; a request without a key goes to the target with the lowest expected cost.
 *
 * @since 0.2
 */
final class Dispatcher {

  /** In-flight requests allowed at a target by all gateways together, per slot of the target. */
  private static final int REQUESTS_PER_SLOT = 6;

  /**
   * Cost factor of a target in another data centre, for a small request. It keeps requests in the
   * local data centre as long as nothing else favours the remote target.
   */
  private static final double REMOTE_COST_FACTOR = 1.25;

  /**
   * Traffic between data centres is billed by the byte: this many bytes of request and response
   * together add 1 to the cost factor. A 60 KB upload that crosses data centres costs a fifth of
   * the value of its response. The size of a response is not known in advance, so the mean of its
   * route is used.
   */
  private static final double REMOTE_BYTES_PER_COST_UNIT = 40_000;

  /** Random share added to each cost, so that gateways do not all choose the same target. */
  private static final double COST_JITTER = 0.2;

  /** Shortest retry delay for a caller whose request has a key that cannot move. */
  private static final long MIN_STUCK_RETRY_MS = 500;

  private static final long MAX_STUCK_RETRY_MS = 5_000;

  /** Retry delay while all targets of a service are in evacuated data centres. */
  private static final long EVACUATED_RETRY_MS = 1_000;

  /** Retry delay while this gateway has no path to the targets of a service. */
  private static final long UNREACHABLE_RETRY_MS = 500;

  /** Requests wait for the end of a back-off of at most this length instead of being refused. */
  private static final long SHORT_BACKOFF_MS = 50;

  /** Weight of the newest response in the moving averages of a route. */
  private static final double EWMA_WEIGHT = 0.05;

  private final RoutingState state;
  private final DataCentreId dataCentre;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final TargetQuotas quotas;
  private final TargetBackoffs backoffs;
  private final Predicate<FleetTarget> isReachable;
  private final TargetPace pace;
  private final Map<TargetId, TargetSlots> slotsByTarget = new HashMap<>();
  private final Map<ServiceId, PriorityQueue<SlotRequest>> waiting = new HashMap<>();
  private final Map<String, Double> meanTimeMsByRoute = new HashMap<>();
  private final Map<String, Double> meanResponseBytesByRoute = new HashMap<>();
  private final Set<ServiceId> statingOccupancy = ConcurrentHashMap.newKeySet();
  private final Set<TargetId> replaced = new HashSet<>();
  private final List<TargetId> unreportedReplaced = new ArrayList<>();
  private long nextOrder;

  Dispatcher(
      RoutingState state,
      DataCentreId dataCentre,
      MillisClock clock,
      RandomGenerator random,
      TargetQuotas quotas,
      TargetBackoffs backoffs,
      Predicate<FleetTarget> isReachable,
      TargetPace pace) {
    this.state = state;
    this.dataCentre = dataCentre;
    this.clock = clock;
    this.random = random;
    this.quotas = quotas;
    this.backoffs = backoffs;
    this.isReachable = isReachable;
    this.pace = pace;
    state.onChange(this::onRoutingChanged);
    quotas.onUsable(this::dispatchWaiting);
    backoffs.onEnd(this::dispatchWaiting);
  }

  /** Assigns a slot to a request or queues it; refuses it if waiting would be in vain. */
  void submit(SlotRequest request) {
    Optional<Slot> slot;
    Optional<TargetRefusal> refusal = Optional.empty();
    synchronized (this) {
      RoutingSnapshot snapshot = state.current();
      request.setOrder(nextOrder++);
      slot = tryAssign(request, snapshot);
      if (slot.isEmpty()) {
        refusal = refusalOf(request, snapshot);
      }
      if (slot.isEmpty() && refusal.isEmpty()) {
        waiting.computeIfAbsent(request.service(), id -> newQueue()).add(request);
      }
    }
    slot.ifPresent(request::placed);
    refusal.ifPresent(request::refused);
  }

  /** Records that the targets of a service state in their answers how busy they are. */
  void onOccupancyStated(ServiceId service) {
    statingOccupancy.add(service);
  }

  /**
   * Returns whether to shed a request at random, since the owner of its key range is overloaded.
   *
   * <p>Not for services whose targets state how busy they are: the mean load of the last seconds
   * would refuse requests for which a slot is free.
   */
  boolean shouldShed(SlotRequest request) {
    if (request.key().isEmpty() || statingOccupancy.contains(request.service())) {
      return false;
    }
    int refusedPercent =
        state
            .current()
            .owners(request.service())
            .flatMap(owners -> owners.find(request.key().getAsInt()))
            .map(RangeRoute::refusedPercent)
            .orElse(0);
    synchronized (this) {
      return refusedPercent > 0 && random.nextInt(100) < refusedPercent;
    }
  }

  /** Removes a request from the queue. Returns whether it was queued. */
  synchronized boolean withdraw(SlotRequest request) {
    PriorityQueue<SlotRequest> queue = waiting.get(request.service());
    return queue != null && queue.remove(request);
  }

  /** Returns why a queued request has no slot yet, for the log. */
  synchronized String waitReason(SlotRequest request) {
    RoutingSnapshot snapshot = state.current();
    if (request.key().isEmpty()) {
      return snapshot.ready(request.service()).isEmpty() ? "no_target" : "targets_busy";
    }
    Optional<RangeRoute> range =
        snapshot.owners(request.service()).flatMap(owners -> owners.find(request.key().getAsInt()));
    if (range.isEmpty()) {
      return "owner_unknown";
    }
    if (!range.get().open()) {
      return "key_on_the_move";
    }
    if (backoffs.remainingMs(range.get().owner()) > 0) {
      return "owner_resting";
    }
    if (quotas.isLimited(range.get().owner())) {
      return "limit_unanswered";
    }
    boolean usable = snapshot.target(range.get().owner()).filter(this::isUsableOwner).isPresent();
    return usable ? "owner_busy" : "owner_leaving";
  }

  /** Frees a slot and updates the statistics with the outcome of the attempt. */
  void release(Slot slot, SlotRequest request, AttemptOutcome outcome, long tookMs) {
    synchronized (this) {
      TargetSlots slots = slotsOf(slot.target(), state.current());
      slots.release();
      recordOutcome(slot.target(), slots, request.route().name(), outcome, tookMs);
      recordResponseSize(request);
    }
    dispatchWaiting(slot.target().service());
  }

  /** Resets the concurrency limit of a target that asked for a back-off to one request. */
  void onBackoff(FleetTarget target) {
    synchronized (this) {
      slotsOf(target, state.current()).onBackoff();
    }
    dispatchWaiting(target.service());
  }

  /**
   * Marks a target as ended, since another target responded at its address. The registry may still
   * list it.
   */
  synchronized void onReplaced(TargetId target) {
    if (replaced.add(target)) {
      unreportedReplaced.add(target);
    }
  }

  /** Returns whether another target has responded at the address of this one. */
  synchronized boolean isReplaced(TargetId target) {
    return replaced.contains(target);
  }

  /** Returns the targets marked as replaced since the last call. */
  synchronized List<TargetId> takeReplaced() {
    List<TargetId> taken = List.copyOf(unreportedReplaced);
    unreportedReplaced.clear();
    return taken;
  }

  /** Returns the mean response time of a route over all targets, in milliseconds. */
  synchronized long meanTimeMs(String route) {
    return meanTimeMsByRoute.getOrDefault(route, 0.0).longValue();
  }

  private void recordOutcome(
      FleetTarget target, TargetSlots slots, String route, AttemptOutcome outcome, long tookMs) {
    switch (outcome) {
      case ANSWERED -> {
        double mean = meanTimeMsByRoute.getOrDefault(route, Math.max(1.0, tookMs));
        slots.onResponse(tookMs / mean);
        meanTimeMsByRoute.put(route, Math.max(1.0, mean + EWMA_WEIGHT * (tookMs - mean)));
      }
      case FAILED -> slots.onFailedResponse();
      case NO_ANSWER -> {
        if (isReachable.test(target)) {
          slots.onNoResponse(clock.nowMs());
        }
      }
      default -> {
        // An abandoned attempt says nothing about the target.
      }
    }
  }

  private void recordResponseSize(SlotRequest request) {
    request
        .responseBytes()
        .ifPresent(
            bytes ->
                meanResponseBytesByRoute.merge(
                    request.route().name(),
                    (double) bytes,
                    (mean, newest) -> mean + EWMA_WEIGHT * (newest - mean)));
  }

  private void onRoutingChanged() {
    synchronized (this) {
      Predicate<TargetId> isGone = id -> state.current().target(id).isEmpty();
      replaced.removeIf(isGone);
      slotsByTarget.entrySet().removeIf(e -> e.getValue().inUse() == 0 && isGone.test(e.getKey()));
    }
    dispatchWaiting();
  }

  /** Tries again to assign slots to all queued requests, or refuses them. */
  void dispatchWaiting() {
    List<ServiceId> services;
    synchronized (this) {
      services = List.copyOf(waiting.keySet());
    }
    services.forEach(this::dispatchWaiting);
  }

  /** Tries again to assign slots to the queued requests of a service. */
  void dispatchWaiting(ServiceId service) {
    Map<SlotRequest, Slot> placed = new HashMap<>();
    Map<SlotRequest, TargetRefusal> refused = new HashMap<>();
    synchronized (this) {
      PriorityQueue<SlotRequest> queue = waiting.get(service);
      if (queue == null || queue.isEmpty()) {
        return;
      }
      dispatchQueue(queue, placed, refused);
    }
    placed.forEach(SlotRequest::placed);
    refused.forEach(SlotRequest::refused);
  }

  private void dispatchQueue(
      PriorityQueue<SlotRequest> queue,
      Map<SlotRequest, Slot> placed,
      Map<SlotRequest, TargetRefusal> refused) {
    RoutingSnapshot snapshot = state.current();
    List<SlotRequest> left = new ArrayList<>();
    while (!queue.isEmpty()) {
      SlotRequest request = queue.poll();
      Optional<Slot> slot = tryAssign(request, snapshot);
      Optional<TargetRefusal> refusal =
          slot.isPresent() ? Optional.empty() : refusalOf(request, snapshot);
      if (slot.isPresent()) {
        placed.put(request, slot.get());
      } else if (refusal.isPresent()) {
        refused.put(request, refusal.get());
      } else {
        left.add(request);
      }
    }
    queue.addAll(left);
  }

  private Optional<Slot> tryAssign(SlotRequest request, RoutingSnapshot snapshot) {
    Optional<FleetTarget> target =
        request.key().isPresent()
            ? findAvailableOwner(request, snapshot)
            : findBest(request, snapshot);
    return target.map(
        found -> {
          slotsOf(found, snapshot).take();
          request.assignedUnder(snapshot.ownersVersion());
          return new Slot(found, clock.upper());
        });
  }

  private Optional<FleetTarget> findAvailableOwner(SlotRequest request, RoutingSnapshot snapshot) {
    if (!request.accepts(snapshot.ownersVersion())) {
      return Optional.empty();
    }
    return findReadyOwner(request, snapshot)
        .filter(target -> canAccept(target, snapshot))
        .filter(target -> slotsOf(target, snapshot).hasFreeSlot(pace.shareOf(target)))
        .filter(target -> quotas.take(target, request.route().priority()));
  }

  private Optional<FleetTarget> findReadyOwner(SlotRequest request, RoutingSnapshot snapshot) {
    return snapshot
        .owners(request.service())
        .flatMap(owners -> owners.find(request.key().getAsInt()))
        .filter(RangeRoute::open)
        .flatMap(range -> snapshot.target(range.owner()))
        .filter(this::isUsableOwner);
  }

  private boolean isUsableOwner(FleetTarget owner) {
    return owner.isReady() && state.isDataCentreOpen(owner, true, clock::upper);
  }

  /**
   * Returns a refusal if no target that may run the request is expected to accept it in time,
   * naming the target that accepts requests again first.
   */
  private Optional<TargetRefusal> refusalOf(SlotRequest request, RoutingSnapshot snapshot) {
    List<FleetTarget> targets =
        request.key().isPresent()
            ? findReadyOwner(request, snapshot).stream().toList()
            : untriedTargets(request, snapshot);
    if (targets.isEmpty()) {
      return snapshot
          .firstOfEvacuatedService(request.service())
          .map(target -> TargetRefusal.forEvacuation(target.id(), EVACUATED_RETRY_MS))
          .or(() -> refusalOfStuckKey(request, snapshot));
    }
    if (targets.stream().noneMatch(isReachable)) {
      return Optional.of(TargetRefusal.forUnreachable(targets.get(0).id(), UNREACHABLE_RETRY_MS));
    }
    int priority = request.route().priority();
    FleetTarget first = null;
    long firstMs = Long.MAX_VALUE;
    for (FleetTarget target : targets) {
      if (!isReachable.test(target)) {
        continue;
      }
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

  /**
   * Refuses a request whose key cannot move while the store is unavailable. The retry delay grows
   * with the length of the outage, since its end is unknown.
   */
  private Optional<TargetRefusal> refusalOfStuckKey(SlotRequest request, RoutingSnapshot snapshot) {
    OptionalLong blockedSinceMs = state.movesBlockedSinceMs();
    if (request.key().isEmpty() || blockedSinceMs.isEmpty()) {
      return Optional.empty();
    }
    long blockedMs = clock.nowMs() - blockedSinceMs.getAsLong();
    long retryAfterMs = Math.max(MIN_STUCK_RETRY_MS, Math.min(MAX_STUCK_RETRY_MS, blockedMs));
    return snapshot
        .owners(request.service())
        .flatMap(owners -> owners.find(request.key().getAsInt()))
        .map(range -> TargetRefusal.forStuckKey(range.owner(), retryAfterMs));
  }

  private long refusedForMs(TargetId target, int priority) {
    long backoffMs = backoffs.remainingMs(target);
    return Math.max(
        backoffMs > SHORT_BACKOFF_MS ? backoffMs : 0,
        quotas.refusedForMs(target, priority).orElse(0));
  }

  private TargetRefusal refuse(TargetId target, int priority) {
    long backoffMs = backoffs.remainingMs(target);
    return backoffMs > SHORT_BACKOFF_MS
        ? TargetRefusal.forBackoff(target, backoffMs)
        : quotas.refuse(target, priority);
  }

  private static List<FleetTarget> untriedTargets(SlotRequest request, RoutingSnapshot snapshot) {
    List<FleetTarget> ready = snapshot.ready(request.service());
    List<FleetTarget> left = ready.stream().filter(t -> !request.tried().contains(t.id())).toList();
    return left.isEmpty() ? ready : left;
  }

  private Optional<FleetTarget> findBest(SlotRequest request, RoutingSnapshot snapshot) {
    Set<TargetId> excluded = new HashSet<>(excludedTargets(request, snapshot));
    int priority = request.route().priority();
    Optional<FleetTarget> best = findCheapest(request, excluded, snapshot);
    while (best.isPresent() && !quotas.take(best.get(), priority)) {
      excluded.add(best.get().id());
      best = findCheapest(request, excluded, snapshot);
    }
    return best;
  }

  private Optional<FleetTarget> findCheapest(
      SlotRequest request, Set<TargetId> excluded, RoutingSnapshot snapshot) {
    FleetTarget best = null;
    double bestCost = Double.MAX_VALUE;
    int priority = request.route().priority();
    for (FleetTarget target : snapshot.ready(request.service())) {
      boolean usable = !excluded.contains(target.id()) && canAccept(target, snapshot);
      if (!usable || quotas.refusedForMs(target.id(), priority).isPresent()) {
        continue;
      }
      double cost = slotsOf(target, snapshot).cost(target.slots()) / pace.shareOf(target);
      cost *= target.dataCentre().equals(dataCentre) ? 1 : remoteCost(request);
      cost *= 1 + COST_JITTER * random.nextDouble();
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double remoteCost(SlotRequest request) {
    double responseBytes = meanResponseBytesByRoute.getOrDefault(request.route().name(), 0.0);
    return REMOTE_COST_FACTOR + (request.bodyBytes() + responseBytes) / REMOTE_BYTES_PER_COST_UNIT;
  }

  /**
   * Returns the targets tried before and the paused ones, or only the former if no target would be
   * left.
   */
  private Set<TargetId> excludedTargets(SlotRequest request, RoutingSnapshot snapshot) {
    long nowMs = clock.nowMs();
    Set<TargetId> excluded = new HashSet<>(request.tried());
    boolean candidatesLeft = false;
    for (FleetTarget target : snapshot.ready(request.service())) {
      if (slotsOf(target, snapshot).isPaused(nowMs) || !isReachable.test(target)) {
        excluded.add(target.id());
      }
      candidatesLeft |= !excluded.contains(target.id());
    }
    return candidatesLeft ? excluded : request.tried();
  }

  private boolean canAccept(FleetTarget target, RoutingSnapshot snapshot) {
    return !replaced.contains(target.id())
        && backoffs.remainingMs(target.id()) == 0
        && slotsOf(target, snapshot).hasFreeSlot()
        && isReachable.test(target);
  }

  private TargetSlots slotsOf(FleetTarget target, RoutingSnapshot snapshot) {
    TargetSlots known = slotsByTarget.get(target.id());
    if (known != null) {
      return known;
    }
    double fleetCapacity = (double) target.slots() * REQUESTS_PER_SLOT;
    double equalShare = Math.max(1, Math.rint(fleetCapacity / snapshot.processes()));
    TargetSlots created = new TargetSlots(equalShare, target.slots());
    slotsByTarget.put(target.id(), created);
    return created;
  }

  /** Returns the relative response times of targets measured since the last call. */
  synchronized TargetLatencyReport takeLatencies() {
    List<TargetLatency> latencies = new ArrayList<>();
    slotsByTarget.forEach((id, slots) -> slots.takeLatency(id).ifPresent(latencies::add));
    return new TargetLatencyReport(latencies);
  }

  /** Returns the number of queued requests. */
  synchronized int waitingCount() {
    int count = 0;
    for (Iterator<PriorityQueue<SlotRequest>> i = waiting.values().iterator(); i.hasNext(); ) {
      count += i.next().size();
    }
    return count;
  }

  private static PriorityQueue<SlotRequest> newQueue() {
    return new PriorityQueue<>(
        Comparator.comparingInt((SlotRequest request) -> request.route().priority())
            .thenComparingLong(SlotRequest::order));
  }
}
