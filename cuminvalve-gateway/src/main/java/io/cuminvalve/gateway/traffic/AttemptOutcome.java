package io.cuminvalve.gateway.traffic;

/** The outcome of an attempt at a target, as far as it matters for the choice of targets. */
enum AttemptOutcome {
  /** The target ran the request and responded. */
  ANSWERED,
  /** The target responded that it failed or did not run the request. */
  FAILED,
  /** The connection could not be opened or broke, or no response came in time. */
  NO_ANSWER,
  /** The attempt ended for a reason that says nothing about the target. */
  GIVEN_UP
}
