package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.send.ConditionLookup;
import io.cuminvalve.core.send.ConditionStatus;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.kernel.UpperTime;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Evaluates the conditions for sending a request, right before its first byte is written.
 *
 * <p>While the store is unavailable, targets and configuration may be of any age: leaving targets
 * and operators cannot write to the store either.
 */
final class RequestFacts implements ConditionLookup {

  /**
   * A target accepts requests for 2 s after it announces that it leaves; 50 ms allow for delays.
   */
  static final long TARGETS_MAX_AGE_MS = 1_950;

  /** Without a maximum age, permits that were delayed would all be used at once. */
  static final long PERMIT_MAX_AGE_MS = 500;

  private static final long UNBOUNDED_MS = Long.MAX_VALUE;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final Slot slot;
  private final int runsBefore;
  private final BooleanSupplier open;

  /**
   * Creates the conditions of one attempt.
   *
   * @param services the services that hold the state; not null
   * @param call the request; not null
   * @param slot the slot at the target; not null
   * @param runsBefore the number of targets on which the request may have run before
   * @param open returns whether the attempt has not been abandoned; not null
   */
  RequestFacts(
      ExchangeServices services,
      CallerRequest call,
      Slot slot,
      int runsBefore,
      BooleanSupplier open) {
    this.services = services;
    this.call = call;
    this.slot = slot;
    this.runsBefore = runsBefore;
    this.open = open;
  }

  @Override
  public ConditionStatus of(SendCondition condition, UpperTime now) {
    TargetId target = slot.target().id();
    return switch (condition) {
      case ATTEMPT_OPEN -> ConditionStatus.local(open.getAsBoolean(), now);
      case TIME_LEFT -> ConditionStatus.local(workEnd().sinceMs(now) > 0, now);
      case ENDS_BEFORE_STOP -> ConditionStatus.local(services.stop().admits(call.deadline()), now);
      case TARGET_RUNS -> ConditionStatus.local(!services.dispatcher().isReplaced(target), now);
      case TARGET_SERVES -> targetServes(target);
      case DATA_CENTRE_OPEN -> dataCentreOpen(now);
      case TARGET_RESTED ->
          ConditionStatus.local(services.backoffs().remainingMs(target) == 0, now);
      case LIMIT_KEPT -> limitKept(target, now);
      case QUARANTINE_CLEAR ->
          ConditionStatus.local(
              services.quarantine().refusedForMs(call.identity(), runsBefore) == 0, now);
      case KEY_OWNED -> ConditionStatus.local(isOwner(target), now);
      case ROUTE_IN_FORCE -> routeInForce();
      case CALLER_PRESENT -> ConditionStatus.local(call.isCallerPresent(), now);
      case TERM_HELD, DECISION_RECENT ->
          throw new IllegalArgumentException("condition does not apply to requests: " + condition);
    };
  }

  /** Returns until when a target may work on the request if it is sent now. */
  private UpperTime workEnd() {
    return services.stop().workEnd(call.workEnd());
  }

  private ConditionStatus targetServes(TargetId target) {
    // Read before the targets: a concurrent change can only make them newer than this time.
    UpperTime asOf = services.state().targetsConfirmed();
    boolean isServing =
        services.state().current().target(target).filter(FleetTarget::isReady).isPresent()
            && !services.departures().isLeaving(target);
    return ConditionStatus.heard(isServing, asOf, effectiveMaxAgeMs(TARGETS_MAX_AGE_MS));
  }

  private ConditionStatus dataCentreOpen(UpperTime now) {
    // Evacuations are confirmed together with the configuration; read before them.
    UpperTime asOf = services.state().configurationConfirmed();
    boolean open =
        services.state().isDataCentreOpen(slot.target(), call.key().isPresent(), () -> now);
    return ConditionStatus.heard(
        open, asOf, effectiveMaxAgeMs(services.state().configurationMaxAgeMs()));
  }

  private ConditionStatus limitKept(TargetId target, UpperTime now) {
    return services.quotas().isLimited(target)
        ? ConditionStatus.heard(true, slot.assignedAt(), PERMIT_MAX_AGE_MS)
        : ConditionStatus.local(true, now);
  }

  private boolean isOwner(TargetId target) {
    if (call.key().isEmpty()) {
      return true;
    }
    return services
        .state()
        .current()
        .owners(call.service())
        .flatMap(owners -> owners.find(call.key().getAsInt()))
        .filter(RangeRoute::open)
        .filter(range -> range.owner().equals(target))
        .isPresent();
  }

  private ConditionStatus routeInForce() {
    UpperTime asOf = services.state().configurationConfirmed();
    Optional<RoutingConfiguration> known = services.state().current().configuration();
    boolean inForce =
        known
            .filter(
                configuration ->
                    configuration.version() == call.configurationVersion()
                        || leadsToService(configuration))
            .isPresent();
    return ConditionStatus.heard(
        inForce, asOf, effectiveMaxAgeMs(services.state().configurationMaxAgeMs()));
  }

  private boolean leadsToService(RoutingConfiguration configuration) {
    return configuration
        .find(call.host(), call.request().getHttpURI().getPath())
        .filter(
            route ->
                route.services().stream().anyMatch(part -> part.service().equals(call.service())))
        .isPresent();
  }

  private long effectiveMaxAgeMs(long maxAgeMs) {
    return services.state().isStoreSilent() ? UNBOUNDED_MS : maxAgeMs;
  }
}
