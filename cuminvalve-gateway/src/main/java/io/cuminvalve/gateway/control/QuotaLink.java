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
 * Connects the {@link QuotaDesk} of this gateway with its traffic and the other gateways. For the
 * control thread.
 */
final class QuotaLink extends PeerAudience implements QuotaDesk.Audience {

  private final RoutingState state;
  private final ControlThread control;
  private final TargetQuotas quotas;
  private final QuotaDesk desk;

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
    this.desk = new QuotaDesk(process, quotas, this, clock);
  }

  void start() {
    quotas.onLimit(targets -> control.execute(() -> desk.onSeen(targets)));
    quotas.onAsk(request -> control.execute(() -> desk.ask(request)));
  }

  /** This gateway holds the term now. */
  void onGained() {
    desk.onGained(state.current().processes());
  }

  /** This gateway holds the term no longer. */
  void onLost() {
    desk.onLost();
  }

  /** Returns what this gateway knows, in short, for its hellos. */
  long digest() {
    return desk.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    desk.onHello(hello.process(), hello.limitDigest(), sender::send);
  }

  /** Takes a message, if it is about limits. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof QuotaRequest request) {
      desk.onRequest(sender.peerAddress(), request, sender::send);
    } else if (message instanceof QuotaReply reply) {
      quotas.onReply(reply);
    } else if (message instanceof LimitUpdate news) {
      desk.onNews(news, sender::send);
    }
  }

  /** The holder, unless it is this gateway, its deputies and the number of gateways are these. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputies, int gateways) {
    desk.onConfidants(holderAddress, deputies);
    quotas.setGateways(gateways);
    quotas.forget(target -> state.current().target(target).isPresent());
  }
}
