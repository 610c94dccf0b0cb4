package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;

/** Whom a gateway can tell something. For the control thread. */
interface FleetAudience {

  /** Tells every gateway that follows this one, the holder of the term. */
  void tellAll(FleetMessage message);

  /** Tells one process. */
  void tell(String address, FleetMessage message);
}
