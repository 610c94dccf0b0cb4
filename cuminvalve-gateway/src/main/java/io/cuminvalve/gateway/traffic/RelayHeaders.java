package io.cuminvalve.gateway.traffic;

/**
 * The header fields between a gateway without a path to the targets and the peer that sends its
 * requests. Their prefix keeps them from callers and targets.
 */
final class RelayHeaders {

  /** Proves that the request comes from a gateway of the fleet. */
  static final String TOKEN = "Cuminvalve-Relay-Token";

  /** Identifies one relayed request; the answer repeats it. */
  static final String ID = "Cuminvalve-Relay-Id";

  /** The number of targets on which the request may have run. */
  static final String RUNS = "Cuminvalve-Relay-Runs";

  /** The number of targets on which it may have run when the peer is done with it. */
  static final String MAX_RUNS = "Cuminvalve-Relay-Max-Runs";

  /** The time since the request arrived at the first gateway; milliseconds. */
  static final String AGE_MS = "Cuminvalve-Relay-Age-Ms";

  /** The time for which a target may work on the request; milliseconds; absent if unbounded. */
  static final String WORK_MS = "Cuminvalve-Relay-Work-Ms";

  /** The service chosen by the first gateway. */
  static final String SERVICE = "Cuminvalve-Relay-Service";

  /** The IP address of the caller. */
  static final String CALLER = "Cuminvalve-Relay-Caller";

  /** How the request ended at the peer; see {@link RelayOutcome}. */
  static final String OUTCOME = "Cuminvalve-Relay-Outcome";

  /** The number of attempts of the peer that provably did not run. */
  static final String REFUSALS = "Cuminvalve-Relay-Refusals";

  /** When a retry may succeed; milliseconds. */
  static final String RETRY_AFTER_MS = "Cuminvalve-Relay-Retry-After-Ms";

  private RelayHeaders() {}
}
