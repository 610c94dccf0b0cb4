package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.sharing.ScarcePlaces;
import io.cuminvalve.core.waiting.ServiceOrder;
import io.cuminvalve.core.waiting.WaitEstimate;
import io.cuminvalve.core.waiting.WaitPolicy;
import io.cuminvalve.kernel.MillisClock;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides how long requests wait for places that are scarce, and in which order they get them.
 *
 * <p>Load: many gateways at targets with few places. Where places are not scarce it decides
 * nothing: requests wait as long as the exchange says and are served by priority and arrival.
 * Guarded by the lock of the {@link Dispatcher}.
 */
final class SlotWaits {

  /** Time after which the wait of a request is estimated again; less than most requests take. */
  private static final long REVIEW_MS = 100;

  private static final Comparator<SlotRequest> BY_ARRIVAL =
      Comparator.comparingInt((SlotRequest request) -> request.route().priority())
          .thenComparingLong(SlotRequest::order);

  private final MillisClock clock;
  private final RandomGenerator random;
  private final OwnerLookup owners;
  private final SlotTable slots;
  private final RouteStatistics routes;
  private final WaitingRequests waiting;
  private volatile long latestEstimateMs;

  SlotWaits(
      MillisClock clock,
      RandomGenerator random,
      OwnerLookup owners,
      SlotTable slots,
      RouteStatistics routes,
      WaitingRequests waiting) {
    this.clock = clock;
    this.random = random;
    this.owners = owners;
    this.slots = slots;
    this.routes = routes;
    this.waiting = waiting;
  }

  /** Returns the order in which the queued requests of a service get places now. */
  Comparator<SlotRequest> order(ServiceId service, RoutingSnapshot snapshot) {
    if (snapshot.ready(service).stream().noneMatch(target -> isScarce(target, snapshot))) {
      return BY_ARRIVAL;
    }
    Comparator<ServiceOrder.Entry> now = ServiceOrder.at(clock.nowMs());
    return (a, b) -> now.compare(entryOf(a), entryOf(b));
  }

  /**
   * Starts the wait of a request that has found no free place, or refuses it if it is not expected
   * to get one in time.
   */
  Optional<TargetRefusal> begin(SlotRequest request, RoutingSnapshot snapshot) {
    long nowMs = clock.nowMs();
    long workMs = workMs(request);
    request.waitUntil(nowMs + WaitPolicy.patienceMs(request.times(), workMs, nowMs));
    return estimate(request, snapshot)
        .filter(estimate -> WaitPolicy.isHopeless(estimate, request.waitUntilMs(), nowMs))
        .map(estimate -> refuse(request, estimate, snapshot));
  }

  /**
   * Returns how long a request that has waited for some time waits on before the next review; empty
   * if it is to be refused.
   */
  OptionalLong review(SlotRequest request, RoutingSnapshot snapshot) {
    long nowMs = clock.nowMs();
    long leftMs = request.waitUntilMs() - nowMs;
    boolean waitsOn =
        leftMs > 0
            && estimate(request, snapshot)
                .filter(found -> !WaitPolicy.isHopeless(found, request.waitUntilMs(), nowMs))
                .isPresent();
    return waitsOn ? OptionalLong.of(Math.min(REVIEW_MS, leftMs)) : OptionalLong.empty();
  }

  /** Returns when a caller refused for want of a scarce place should return; empty otherwise. */
  OptionalLong retryAfterMs(SlotRequest request, RoutingSnapshot snapshot) {
    return estimate(request, snapshot)
        .map(estimate -> OptionalLong.of(returnDelayMs(request, estimate)))
        .orElse(OptionalLong.empty());
  }

  /** Returns the estimated wait of the request that was estimated last; milliseconds. */
  long latestEstimateMs() {
    return latestEstimateMs;
  }

  private TargetRefusal refuse(
      SlotRequest request, WaitEstimate estimate, RoutingSnapshot snapshot) {
    TargetId target = candidates(request, snapshot).get(0).id();
    return TargetRefusal.forHopelessWait(
        target, estimate.waitMs(), returnDelayMs(request, estimate));
  }

  private long returnDelayMs(SlotRequest request, WaitEstimate estimate) {
    return WaitPolicy.retryAfterMs(estimate, request.times(), clock.nowMs(), random.nextDouble());
  }

  /** Estimates the wait; empty unless the request waits for scarce places that are all in use. */
  private Optional<WaitEstimate> estimate(SlotRequest request, RoutingSnapshot snapshot) {
    List<FleetTarget> targets = candidates(request, snapshot);
    boolean forScarcePlaces =
        !targets.isEmpty()
            && request.accepts(snapshot.ownersVersion())
            && targets.stream().allMatch(target -> isScarceAndFull(target, snapshot));
    if (!forScarcePlaces) {
      return Optional.empty();
    }
    long workMs = workMs(request);
    double completionsPerMs = 0;
    for (FleetTarget target : targets) {
      double ms = slots.of(target, snapshot).msPerCompletion(workMs);
      completionsPerMs += ms > 0 ? 1 / ms : 0;
    }
    double msPerCompletion = completionsPerMs > 0 ? 1 / completionsPerMs : 0;
    WaitEstimate estimate = WaitEstimate.of(ahead(request, snapshot), msPerCompletion, workMs);
    latestEstimateMs = estimate.waitMs();
    return Optional.of(estimate);
  }

  private int ahead(SlotRequest request, RoutingSnapshot snapshot) {
    Comparator<ServiceOrder.Entry> now = ServiceOrder.at(clock.nowMs());
    ServiceOrder.Entry own = entryOf(request);
    Optional<TargetId> owner =
        request.key().isEmpty()
            ? Optional.empty()
            : owners.findReady(request, snapshot).map(FleetTarget::id);
    int ahead = 0;
    for (SlotRequest other : waiting.waitingFor(request.service(), owner)) {
      boolean sameQueue = other.key().isPresent() == request.key().isPresent();
      ahead += sameQueue && now.compare(entryOf(other), own) < 0 ? 1 : 0;
    }
    return ahead;
  }

  private List<FleetTarget> candidates(SlotRequest request, RoutingSnapshot snapshot) {
    return request.key().isPresent()
        ? owners.findReady(request, snapshot).stream().toList()
        : snapshot.ready(request.service()).stream()
            .filter(target -> !slots.of(target, snapshot).isPaused(clock.nowMs()))
            .toList();
  }

  private boolean isScarceAndFull(FleetTarget target, RoutingSnapshot snapshot) {
    return isScarce(target, snapshot) && !slots.of(target, snapshot).hasFreeSlot();
  }

  private static boolean isScarce(FleetTarget target, RoutingSnapshot snapshot) {
    return ScarcePlaces.isScarce(target.slots(), snapshot.processes());
  }

  private ServiceOrder.Entry entryOf(SlotRequest request) {
    return new ServiceOrder.Entry(
        request.route().priority(), request.times(), workMs(request), request.order());
  }

  private long workMs(SlotRequest request) {
    return (long) routes.meanTimeMs(request.route().name());
  }
}
