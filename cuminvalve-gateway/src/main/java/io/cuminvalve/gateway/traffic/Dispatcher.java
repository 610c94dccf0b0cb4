package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Assigns requests to slots of targets and queues those for which no slot is free.
 *
 * <p>Queued requests are served by priority, then in the order of {@link SlotWaits}. A keyed
 * request goes only to the owner of its key; a request without a key goes to the target with the
 * lowest expected cost.
 *
 * @since 0.2
 */
final class Dispatcher {

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

  private final RoutingState state;
  private final DataCentreId dataCentre;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final TargetQuotas quotas;
  private final TargetBackoffs backoffs;
  private final Predicate<FleetTarget> isReachable;
  private final TargetPace pace;
  private final OwnerLookup owners;
  private final RefusalRules refusals;
  private final SlotTable slotTable = new SlotTable();
  private final RouteStatistics routes = new RouteStatistics();
  private final WaitingRequests waiting = new WaitingRequests();
  private final SlotWaits waits;
  private final OutcomeRecorder outcomes;
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
    this.owners = new OwnerLookup(state, clock);
    this.refusals = new RefusalRules(state, clock, owners, quotas, backoffs, isReachable);
    this.outcomes = new OutcomeRecorder(clock, routes, isReachable);
    this.waits = new SlotWaits(clock, random, owners, slotTable, routes, waiting);
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
        refusal = refusals.refusalOf(request, snapshot).or(() -> waits.begin(request, snapshot));
      }
      if (slot.isEmpty() && refusal.isEmpty()) {
        waiting.put(request, fullOwnerOf(request, snapshot));
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
        owners.findRange(request, state.current()).map(RangeRoute::refusedPercent).orElse(0);
    synchronized (this) {
      return refusedPercent > 0 && random.nextInt(100) < refusedPercent;
    }
  }

  /** Removes a request from the queue. Returns whether it was queued. */
  synchronized boolean withdraw(SlotRequest request) {
    return waiting.remove(request);
  }

  /** Returns why a queued request has no slot yet, for the log. */
  synchronized String waitReason(SlotRequest request) {
    return refusals.waitReason(request, state.current());
  }

  /**
   * Returns how long a queued request waits on before the next review; empty if it is to be
   * withdrawn, as it always is where places are not scarce.
   */
  synchronized OptionalLong reviewWait(SlotRequest request) {
    return waiting.contains(request)
        ? waits.review(request, state.current())
        : OptionalLong.empty();
  }

  /** Returns when a caller refused for want of a scarce place should return; empty otherwise. */
  synchronized OptionalLong retryAfterMs(SlotRequest request) {
    return waits.retryAfterMs(request, state.current());
  }

  /** Returns whether a request is queued. */
  synchronized boolean isWaiting(SlotRequest request) {
    return waiting.contains(request);
  }

  /** Returns the estimated wait of the request that was estimated last; milliseconds. */
  long latestEstimateMs() {
    return waits.latestEstimateMs();
  }

  /** Frees a slot and updates the statistics with the outcome of the attempt. */
  void release(Slot slot, SlotRequest request, AttemptOutcome outcome, long tookMs) {
    synchronized (this) {
      TargetSlots slots = slotsOf(slot.target(), state.current());
      slots.release();
      outcomes.record(slot.target(), slots, request.route().name(), outcome, tookMs);
      routes.recordResponseSize(request);
    }
    dispatchFreed(slot.target());
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
    return (long) routes.meanTimeMs(route);
  }

  private void onRoutingChanged() {
    synchronized (this) {
      Predicate<TargetId> isGone = id -> state.current().target(id).isEmpty();
      replaced.removeIf(isGone);
      slotTable.removeUnused(isGone);
    }
    dispatchWaiting();
  }

  /** Tries again to assign slots to all queued requests, or refuses them. */
  void dispatchWaiting() {
    List<ServiceId> services;
    synchronized (this) {
      services = waiting.services();
    }
    services.forEach(this::dispatchWaiting);
  }

  /** Tries again to assign slots to the queued requests of a service. */
  void dispatchWaiting(ServiceId service) {
    dispatch(service, Optional.empty());
  }

  /** Tries again to assign slots to the queued requests that a free slot of a target may serve. */
  private void dispatchFreed(FleetTarget freed) {
    dispatch(freed.service(), Optional.of(freed.id()));
  }

  private void dispatch(ServiceId service, Optional<TargetId> freed) {
    Map<SlotRequest, Slot> placed = new HashMap<>();
    Map<SlotRequest, TargetRefusal> refused = new HashMap<>();
    synchronized (this) {
      List<SlotRequest> candidates =
          freed.isPresent() ? waiting.affectedBy(service, freed.get()) : waiting.all(service);
      if (candidates.isEmpty()) {
        return;
      }
      RoutingSnapshot snapshot = state.current();
      candidates.sort(waits.order(service, snapshot));
      dispatchInOrder(candidates, freed, snapshot, placed, refused);
    }
    placed.forEach(SlotRequest::placed);
    refused.forEach(SlotRequest::refused);
  }

  private void dispatchInOrder(
      List<SlotRequest> candidates,
      Optional<TargetId> freed,
      RoutingSnapshot snapshot,
      Map<SlotRequest, Slot> placed,
      Map<SlotRequest, TargetRefusal> refused) {
    boolean fullAgain = false;
    for (SlotRequest request : candidates) {
      if (fullAgain && waiting.fullOwner(request).equals(freed)) {
        continue;
      }
      Optional<Slot> slot = tryAssign(request, snapshot);
      Optional<TargetRefusal> refusal =
          slot.isPresent() ? Optional.empty() : refusals.refusalOf(request, snapshot);
      if (slot.isPresent()) {
        waiting.remove(request);
        placed.put(request, slot.get());
      } else if (refusal.isPresent()) {
        waiting.remove(request);
        refused.put(request, refusal.get());
      } else {
        Optional<TargetId> fullOwner = fullOwnerOf(request, snapshot);
        waiting.put(request, fullOwner);
        // Limits that targets name may refuse one priority only, so all requests are looked at.
        fullAgain |= freed.isPresent() && fullOwner.equals(freed) && !quotas.isLimited(freed.get());
      }
    }
  }

  /** Returns the owner of the key of a request if all slots there are in use. */
  private Optional<TargetId> fullOwnerOf(SlotRequest request, RoutingSnapshot snapshot) {
    if (request.key().isEmpty() || !request.accepts(snapshot.ownersVersion())) {
      return Optional.empty();
    }
    return owners
        .findReady(request, snapshot)
        .filter(owner -> !slotsOf(owner, snapshot).hasFreeSlot())
        .map(FleetTarget::id);
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
    return owners
        .findReady(request, snapshot)
        .filter(target -> canAccept(target, snapshot))
        .filter(target -> slotsOf(target, snapshot).hasFreeSlot(pace.shareOf(target)))
        .filter(target -> quotas.take(target, request.route().priority()));
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
    double responseBytes = routes.meanResponseBytes(request.route().name());
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
    return slotTable.of(target, snapshot);
  }

  /** Returns the relative response times of targets measured since the last call. */
  synchronized TargetLatencyReport takeLatencies() {
    return slotTable.takeLatencies();
  }

  /** Returns the number of queued requests. */
  synchronized int waitingCount() {
    return waiting.size();
  }
}
