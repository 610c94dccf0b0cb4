package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.kernel.MillisClock;
import java.util.Optional;

/** Finds the owners of the keys of requests. */
final class OwnerLookup {

  private final RoutingState state;
  private final MillisClock clock;

  OwnerLookup(RoutingState state, MillisClock clock) {
    this.state = state;
    this.clock = clock;
  }

  /** Returns the range that has the key of a keyed request; empty if its owner is unknown. */
  Optional<RangeRoute> findRange(SlotRequest request, RoutingSnapshot snapshot) {
    return snapshot
        .owners(request.service())
        .flatMap(owners -> owners.find(request.key().getAsInt()));
  }

  /** Returns the owner of the key of a keyed request if it may run requests now. */
  Optional<FleetTarget> findReady(SlotRequest request, RoutingSnapshot snapshot) {
    return findRange(request, snapshot)
        .filter(RangeRoute::open)
        .flatMap(range -> snapshot.target(range.owner()))
        .filter(this::isUsable);
  }

  /** Returns whether an owner may run requests of its keys now. */
  boolean isUsable(FleetTarget owner) {
    return owner.isReady() && state.isDataCentreOpen(owner, true, clock::upper);
  }
}
