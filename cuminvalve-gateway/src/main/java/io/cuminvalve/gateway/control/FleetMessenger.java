package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;

/** Sends messages to other gateways of the fleet. For use on the control thread. */
interface FleetMessenger {

  /** Sends a message to every gateway that follows this one, the term holder. */
  void sendToFollowers(FleetMessage message);

  /** Sends a message to the gateway at a peer address. */
  void tell(String address, FleetMessage message);
}
