package io.cuminvalve.router.observe;

/**
 * A step in the life of a request.
 *
 * @since 0.1
 */
public enum StepKind {
  /** Its head was read and recognised. */
  ARRIVED,
  /** It waits until other routers know of the operation. */
  CLAIMING,
  /** It waits for a slot of its target. */
  WAITING,
  /** It has a slot. */
  ADMITTED,
  /** Its first byte is handed to a connection. */
  SENT,
  /** No connection could be made, or nothing was sent on it. */
  NOT_SENT,
  /** The target refused before running it. */
  REFUSED_BY_TARGET,
  /** The connection broke before the whole answer was read. */
  CUT,
  /** The head of the answer was read. */
  ANSWERED,
  /** It waits before its next attempt. */
  BACKING_OFF,
  /** The attempt was given up and the target asked to cancel it. */
  CANCELLED_AT_TARGET,
  /** An answer to an attempt that was given up was dropped. */
  ANSWER_DROPPED,
  /** It has its outcome. */
  ENDED
}
