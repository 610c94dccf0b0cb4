package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeStateMachine;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.RelayPeerSelector;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.stop.StopPolicy;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetRequest;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;

/** Prepares the attempts of this gateway to have peers send its requests. Thread-safe. */
final class PeerRelay {

  private final RoutingState state;
  private final TargetClient client;
  private final RelayToken token;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final RelayPeerSelector selector;

  PeerRelay(
      RoutingState state,
      TargetClient client,
      RelayToken token,
      DataCentreId dataCentre,
      MillisClock clock,
      RandomGenerator random) {
    this.state = state;
    this.client = client;
    this.token = token;
    this.clock = clock;
    this.random = random;
    this.selector = new RelayPeerSelector(dataCentre, random);
  }

  /** Returns whether a peer is known whose address is not among the given ones. */
  boolean knowsOtherThan(Set<String> tried) {
    return state.relayPeers().stream().anyMatch(peer -> !tried.contains(peer.address()));
  }

  /** Returns whether a peer may take a request from this process, which may be stopping. */
  boolean mayTake(Request request, UpperTime deadline, Route route, StopProgress stop) {
    boolean peerKnown = RelayedRequest.of(request).isEmpty() && knowsOtherThan(Set.of());
    return stop.treat(deadline, route.targetLatencyMs(), peerKnown) != StopPolicy.Treatment.REFUSE;
  }

  /** Prepares an attempt at a peer whose address is not among the given ones, if there is one. */
  Optional<PeerAttempt> prepare(
      ExchangeServices services,
      CallerRequest call,
      ExchangeStateMachine machine,
      Set<String> tried,
      PeerAttempt.Listener listener) {
    Optional<RelayPeer> selected;
    String id;
    synchronized (this) {
      selected = selector.select(state.relayPeers(), tried, clock.nowMs());
      id = Long.toHexString(random.nextLong());
    }
    return selected.map(
        peer ->
            new PeerAttempt(
                services, client, call, peer, id, request(call, machine, peer, id), listener));
  }

  /** Selects a peer only after all others for a while. */
  synchronized void onUseless(RelayPeer peer) {
    selector.onUseless(peer.address(), clock.nowMs());
  }

  private TargetRequest request(
      CallerRequest call, ExchangeStateMachine machine, RelayPeer peer, String id) {
    HttpFields.Mutable headers = HttpFields.build(call.headers());
    // A connection that was used before may have gone silent without a reset.
    headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    headers.put(RelayHeaders.TOKEN, token.value());
    headers.put(RelayHeaders.ID, id);
    headers.put(RelayHeaders.RUNS, machine.runs());
    headers.put(RelayHeaders.MAX_RUNS, machine.forwardedLimit());
    headers.put(RelayHeaders.SERVICE, call.service().value());
    headers.put(RelayHeaders.CALLER, Request.getRemoteAddr(call.request()));
    return new TargetRequest(
        SocketAddresses.parse(peer.address()),
        call.request().getMethod(),
        call.request().getHttpURI().getPathQuery(),
        headers,
        call.content());
  }
}
