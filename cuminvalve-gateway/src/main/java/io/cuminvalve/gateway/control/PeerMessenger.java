package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.wire.PeerNetwork;

/** The other gateways, over the network. For the control thread. */
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

  /** Returns how many gateways follow this one, the holder of the term. */
  public int followers() {
    return subscribers.count();
  }
}
