package io.cuminvalve.testkit.target;

/**
 * Why a target refused a request before running any of it.
 *
 * @since 0.1
 */
public enum Refusal {
  /** All slots and the queue are taken. */
  OVERLOADED,
  /** The target is leaving. */
  DRAINING,
  /** The target has no grant for the shard under this token. */
  NOT_OWNER,
  /** A newer token of the shard is known. */
  STALE_TOKEN,
  /** The grant of the request, or its deadline, has passed. */
  EXPIRED,
  /** The request was meant for another run of the process. */
  WRONG_INCARNATION
}
