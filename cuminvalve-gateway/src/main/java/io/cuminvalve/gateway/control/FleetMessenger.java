package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;

/** Whom a gateway can tell something. For the control thread. */
interface FleetMessenger {

  /** Tells every gateway that follows this one, the holder of the term. */
  void sendToFollowers(FleetMessage message);

  /** Tells one process. */
  void tell(String address, FleetMessage message);
}
