package io.cuminvalve.gateway.traffic;

/** How far a request of a caller that has no complete response yet has come. */
enum RequestPhase {
  /** Its route is being looked up. */
  ROUTING,
  /** It waits for the first configuration. */
  HELD,
  /** Its body is being read. */
  READING,
  /** It waits for a target or has been sent to one. */
  FORWARDING,
  /** Its response is being written. */
  ANSWERING
}
