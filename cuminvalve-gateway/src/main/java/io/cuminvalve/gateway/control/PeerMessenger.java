package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.wire.PeerNetwork;

/** Sends messages to other gateways over the peer network. For use on the control thread. */
class PeerMessenger implements FleetMessenger {

  private final PeerNetwork network;
  private final Subscribers subscribers;

  PeerMessenger(PeerNetwork network, Subscribers subscribers) {
    this.network = network;
    this.subscribers = subscribers;
  }

  @Override
  public void sendToFollowers(FleetMessage message) {
    subscribers.sendToAll(message);
  }

  @Override
  public void tell(String address, FleetMessage message) {
    network.send(address, message);
  }

  /** Returns the number of gateways that follow this one, the term holder. */
  public int followers() {
    return subscribers.count();
  }
}
