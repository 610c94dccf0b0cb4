package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.DepartureUpdate;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TargetDepartures;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;

/**
 * Connects the {@link DepartureCoordinator} of this gateway with its traffic, its routing and the
 * other gateways. Confined to the control thread.
 */
final class DepartureLink {

  private final RoutingState state;
  private final ControlThread control;
  private final TargetDepartures departures;
  private final Runnable onChange;
  private final DepartureCoordinator coordinator;

  DepartureLink(
      PeerNetwork network,
      Subscribers subscribers,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      TargetDepartures departures,
      Runnable onChange) {
    this.state = state;
    this.control = control;
    this.departures = departures;
    this.onChange = onChange;
    this.coordinator =
        new DepartureCoordinator(
            new PeerMessenger(network, subscribers), clock, log, this::applyDepartures);
  }

  void start() {
    departures.onSeen(target -> control.execute(() -> coordinator.onSeen(target)));
  }

  private void applyDepartures(Set<TargetId> leaving) {
    state.update(snapshot -> snapshot.withLeaving(leaving));
    onChange.run();
  }

  /** Returns the digest of known departures for the hellos of this gateway. */
  long digest() {
    return coordinator.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    coordinator.onDigest(hello.departureDigest(), sender::send);
  }

  /** Processes a message if it concerns departures. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof DepartureUpdate update) {
      coordinator.onUpdate(update, sender::send);
    }
  }

  /** Sets the addresses of the holder, empty if it is this gateway, and of its deputies. */
  void onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    coordinator.onHolderAndDeputies(holderAddress, deputies);
    coordinator.forget(target -> state.current().target(target).isPresent());
  }
}
