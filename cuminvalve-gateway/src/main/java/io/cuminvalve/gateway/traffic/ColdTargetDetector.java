package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.ColdBound;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.ServiceProfile;
import io.cuminvalve.kernel.MillisClock;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Finds cold targets and limits the requests to them.
 *
 * <p>A target is cold for the time that its registration states, and after an evacuation of its
 * data centre, since it may have been idle or restarted and its registration is updated later. All
 * methods run on the control thread.
 */
final class ColdTargetDetector {

  private final RoutingState state;
  private final TargetQuotas quotas;
  private final ColdBound bound;
  private final MillisClock clock;
  private final Map<TargetId, FleetTarget> applied = new HashMap<>();
  private Collection<FleetTarget> lastTargets = List.of();
  private Optional<RoutingConfiguration> lastConfiguration = Optional.empty();

  ColdTargetDetector(RoutingState state, TargetQuotas quotas, ColdBound bound, MillisClock clock) {
    this.state = state;
    this.quotas = quotas;
    this.bound = bound;
    this.clock = clock;
    state.onChange(this::onRoutingChanged);
  }

  private void onRoutingChanged() {
    RoutingSnapshot snapshot = state.current();
    boolean same =
        snapshot.targets() == lastTargets && snapshot.configuration().equals(lastConfiguration);
    if (same) {
      return;
    }
    lastTargets = snapshot.targets();
    lastConfiguration = snapshot.configuration();
    applied.keySet().removeIf(id -> snapshot.target(id).isEmpty());
    lastConfiguration.ifPresent(
        configuration -> lastTargets.forEach(target -> inspect(target, configuration, snapshot)));
  }

  private void inspect(
      FleetTarget target, RoutingConfiguration configuration, RoutingSnapshot snapshot) {
    ServiceProfile profile = configuration.services().get(target.service());
    if (profile == null || profile.coldRequestsPerS() <= 0) {
      return;
    }
    long coldMs = afterEvacuationMs(target, profile, snapshot.evacuations());
    if (applied.put(target.id(), target) != target) {
      coldMs = Math.max(coldMs, target.coldMs());
    }
    if (coldMs > 0) {
      double perS = bound.issuedPerS(profile.coldRequestsPerS());
      quotas.onCold(target.id(), target.service(), perS, coldMs);
    }
  }

  private long afterEvacuationMs(
      FleetTarget target, ServiceProfile profile, Evacuations evacuations) {
    OptionalLong endedMs = evacuations.endedMs(target.dataCentre());
    return endedMs.isEmpty() ? 0 : endedMs.getAsLong() + profile.warmUpMs() - clock.nowMs();
  }
}
