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
 * Connects the {@link DepartureDesk} of this gateway with its traffic, its routing and the other
 * gateways. For the control thread.
 */
final class DepartureLink {

  private final RoutingState state;
  private final ControlThread control;
  private final TargetDepartures departures;
  private final Runnable onChange;
  private final DepartureDesk desk;

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
    this.desk =
        new DepartureDesk(new PeerAudience(network, subscribers), clock, log, this::takeEffect);
  }

  void start() {
    departures.onSeen(target -> control.execute(() -> desk.onSeen(target)));
  }

  private void takeEffect(Set<TargetId> leaving) {
    state.update(snapshot -> snapshot.withLeaving(leaving));
    onChange.run();
  }

  /** Returns what this gateway knows, in short, for its hellos. */
  long digest() {
    return desk.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    desk.onDigest(hello.departureDigest(), sender::send);
  }

  /** Takes a message, if it is about departures. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof DepartureUpdate news) {
      desk.onNews(news, sender::send);
    }
  }

  /** The holder, unless it is this gateway, and its deputies are these. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputies) {
    desk.onConfidants(holderAddress, deputies);
    desk.forget(target -> state.current().target(target).isPresent());
  }
}
