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
 * What this gateway knows, at the first byte, of all that may forbid it to send a request.
 *
 * <p>What the registry and the configuration say may be old while the store answers nobody: targets
 * that leave, and operators, cannot tell it either then.
 */
final class RequestFacts implements ConditionLookup {

  /** A target may take requests for 2 s after it has said that it leaves; the way takes some. */
  static final long TARGETS_MAX_AGE_MS = 1_950;

  /** Permits that were held up would all be used at once. */
  static final long PERMIT_MAX_AGE_MS = 500;

  private static final long UNBOUNDED_MS = Long.MAX_VALUE;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final Slot slot;
  private final int runsBefore;
  private final BooleanSupplier open;

  /**
   * Creates the facts of one attempt.
   *
   * @param services where knowledge is kept; not null
   * @param call the request; not null
   * @param slot where it goes; not null
   * @param runsBefore at how many targets it may have run before
   * @param open whether nobody has given the attempt up; not null
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
      case TIME_LEFT -> ConditionStatus.local(call.deadline().sinceMs(now) > 0, now);
      case TARGET_RUNS -> ConditionStatus.local(!services.dispatcher().isReplaced(target), now);
      case TARGET_SERVES -> targetServes(target);
      case TARGET_RESTED -> ConditionStatus.local(services.rests().leftMs(target) == 0, now);
      case LIMIT_KEPT -> limitKept(target, now);
      case QUARANTINE_CLEAR ->
          ConditionStatus.local(
              services.quarantine().refusedForMs(call.identity(), runsBefore) == 0, now);
      case KEY_OWNED -> ConditionStatus.local(isOwner(target), now);
      case ROUTE_IN_FORCE -> routeInForce();
      case CALLER_PRESENT -> ConditionStatus.local(call.isCallerPresent(), now);
      case TERM_HELD, DECISION_RECENT ->
          throw new IllegalArgumentException("no condition of a request: " + condition);
    };
  }

  private ConditionStatus targetServes(TargetId target) {
    // Read before the targets: a change in between may make them newer than this says, not older.
    UpperTime asOf = services.state().targetsConfirmed();
    boolean serves =
        services.state().current().target(target).filter(FleetTarget::isReady).isPresent()
            && !services.departures().isLeaving(target);
    return ConditionStatus.heard(serves, asOf, unlessSilent(TARGETS_MAX_AGE_MS));
  }

  private ConditionStatus limitKept(TargetId target, UpperTime now) {
    return services.quotas().isLimited(target)
        ? ConditionStatus.heard(true, slot.givenAt(), PERMIT_MAX_AGE_MS)
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
        inForce, asOf, unlessSilent(services.state().configurationMaxAgeMs()));
  }

  private boolean leadsToService(RoutingConfiguration configuration) {
    return configuration
        .find(call.host(), call.request().getHttpURI().getPath())
        .filter(
            route ->
                route.services().stream().anyMatch(part -> part.service().equals(call.service())))
        .isPresent();
  }

  private long unlessSilent(long maxAgeMs) {
    return services.state().isStoreSilent() ? UNBOUNDED_MS : maxAgeMs;
  }
}
