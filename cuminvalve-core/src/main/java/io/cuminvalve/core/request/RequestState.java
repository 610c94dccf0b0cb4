package io.cuminvalve.core.request;

/**
 * The state of a request at a router.
 *
 * @since 0.1
 */
public enum RequestState {
  /** Created but not started. */
  NEW,
  /** Waiting for its claim to be recorded at other routers. */
  CLAIMING,
  /** Waiting for an open shard and a slot of its target. */
  WAITING,
  /** Holds a slot; no byte was handed to a connection. */
  CONNECTING,
  /** At least one byte was handed to a connection; no answer yet. */
  SENT,
  /** The head of the answer was relayed to the caller. */
  ANSWERING,
  /** Waiting before its next attempt. */
  BACKING_OFF,
  /** Ended with an outcome. */
  ENDED
}
