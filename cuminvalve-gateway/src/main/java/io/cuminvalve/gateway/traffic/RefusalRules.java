package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.kernel.MillisClock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Tells why a request has no slot, and refuses it if its targets accept none for reasons other than
 * their slots.
 */
final class RefusalRules {

  /** Shortest retry delay for a caller whose request has a key that cannot move. */
  private static final long MIN_STUCK_RETRY_MS = 500;

  private static final long MAX_STUCK_RETRY_MS = 5_000;

  /** Retry delay while all targets of a service are in evacuated data centres. */
  private static final long EVACUATED_RETRY_MS = 1_000;

  /** Retry delay while this gateway has no path to the targets of a service. */
  private static final long UNREACHABLE_RETRY_MS = 500;

  /** Requests wait for the end of a back-off of at most this length instead of being refused. */
  private static final long SHORT_BACKOFF_MS = 50;

  private final RoutingState state;
  private final MillisClock clock;
  private final OwnerLookup owners;
  private final TargetQuotas quotas;
  private final TargetBackoffs backoffs;
  private final Predicate<FleetTarget> isReachable;

  RefusalRules(
      RoutingState state,
      MillisClock clock,
      OwnerLookup owners,
      TargetQuotas quotas,
      TargetBackoffs backoffs,
      Predicate<FleetTarget> isReachable) {
    this.state = state;
    this.clock = clock;
    this.owners = owners;
    this.quotas = quotas;
    this.backoffs = backoffs;
    this.isReachable = isReachable;
  }

  /** Returns why a queued request has no slot yet, for the log. */
  String waitReason(SlotRequest request, RoutingSnapshot snapshot) {
    if (request.key().isEmpty()) {
      return snapshot.ready(request.service()).isEmpty() ? "no_target" : "targets_busy";
    }
    Optional<RangeRoute> range = owners.findRange(request, snapshot);
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
    boolean usable = snapshot.target(range.get().owner()).filter(owners::isUsable).isPresent();
    return usable ? "owner_busy" : "owner_leaving";
  }

  /**
   * Returns a refusal if no target that may run the request is expected to accept it in time,
   * naming the target that accepts requests again first.
   */
  Optional<TargetRefusal> refusalOf(SlotRequest request, RoutingSnapshot snapshot) {
    List<FleetTarget> targets =
        request.key().isPresent()
            ? owners.findReady(request, snapshot).stream().toList()
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
    return owners
        .findRange(request, snapshot)
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
}
