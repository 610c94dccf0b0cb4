package io.cuminvalve.gateway.traffic;

/** How an attempt at a target ended, as far as the choice of targets is concerned. */
enum AttemptOutcome {
  /** The target answered a request that it ran. */
  ANSWERED,
  /** The target answered that it failed or did not run the request. */
  FAILED,
  /** No connection, or it broke, or nothing came in time. */
  NO_ANSWER,
  /** It ended for a reason that says nothing of the target. */
  GIVEN_UP
}
