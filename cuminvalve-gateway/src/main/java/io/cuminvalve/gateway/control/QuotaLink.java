package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.LimitUpdate;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TargetQuotas;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import java.util.Collection;
import java.util.Optional;

/**
 * Connects the {@link QuotaCoordinator} of this gateway with its traffic and the other gateways.
 * Confined to the control thread.
 */
final class QuotaLink extends PeerMessenger implements QuotaCoordinator.Peers {

  private final RoutingState state;
  private final ControlThread control;
  private final TargetQuotas quotas;
  private final QuotaCoordinator coordinator;

  QuotaLink(
      String process,
      PeerNetwork network,
      Subscribers subscribers,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      TargetQuotas quotas) {
    super(network, subscribers);
    this.state = state;
    this.control = control;
    this.quotas = quotas;
    this.coordinator = new QuotaCoordinator(process, quotas, this, clock);
  }

  void start() {
    quotas.onLimit(targets -> control.execute(() -> coordinator.onSeen(targets)));
    quotas.onCold(() -> control.execute(coordinator::onCold));
    quotas.onQuotaRequest(request -> control.execute(() -> coordinator.ask(request)));
  }

  /** Called when this gateway has acquired the term. */
  void onGained() {
    coordinator.onGained(state.current().processes());
  }

  /** Called when this gateway no longer holds the term. */
  void onLost() {
    coordinator.onLost();
  }

  /** Returns the digest of known limits for the hellos of this gateway. */
  long digest() {
    return coordinator.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    coordinator.onHello(hello.process(), hello.limitDigest(), sender::send);
  }

  /** Processes a message if it concerns limits. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof QuotaRequest request) {
      coordinator.onRequest(sender.peerAddress(), request, sender::send);
    } else if (message instanceof QuotaReply reply) {
      quotas.onReply(reply);
    } else if (message instanceof LimitUpdate update) {
      coordinator.onUpdate(update, sender::send);
    }
  }

  /**
   * Sets the addresses of the holder, empty if it is this gateway, and of its deputies, and the
   * number of gateways.
   */
  void onHolderAndDeputies(
      Optional<String> holderAddress, Collection<String> deputies, int gateways) {
    coordinator.onHolderAndDeputies(holderAddress, deputies);
    quotas.setGateways(gateways);
    quotas.forget(target -> state.current().target(target).isPresent());
  }
}
