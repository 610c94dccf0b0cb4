package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.sharing.ScarcePlaces;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The slots of this gateway at each target.
 *
 * <p>Some targets never respond to requests that do not fit into their queue, so all gateways
 * together must not overfill it: each gateway starts with an equal share of the target's capacity.
 * Guarded by the lock of the {@link Dispatcher}.
 */
final class SlotTable {

  private final Map<TargetId, TargetSlots> slotsByTarget = new HashMap<>();

  /** Returns the slots at a target. */
  TargetSlots of(FleetTarget target, RoutingSnapshot snapshot) {
    TargetSlots known = slotsByTarget.get(target.id());
    if (known != null) {
      return known;
    }
    double fleetCapacity = (double) target.slots() * ScarcePlaces.REQUESTS_PER_SLOT;
    double equalShare = Math.max(1, Math.rint(fleetCapacity / snapshot.processes()));
    TargetSlots created = new TargetSlots(equalShare, target.slots());
    slotsByTarget.put(target.id(), created);
    return created;
  }

  /** Forgets the targets that are gone and at which no request is under way. */
  void removeUnused(Predicate<TargetId> isGone) {
    slotsByTarget.entrySet().removeIf(e -> e.getValue().inUse() == 0 && isGone.test(e.getKey()));
  }

  /** Returns the relative response times of targets measured since the last call. */
  TargetLatencyReport takeLatencies() {
    List<TargetLatency> latencies = new ArrayList<>();
    slotsByTarget.forEach((id, slots) -> slots.takeLatency(id).ifPresent(latencies::add));
    return new TargetLatencyReport(latencies);
  }
}
