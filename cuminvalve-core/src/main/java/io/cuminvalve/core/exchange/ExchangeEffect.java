package io.cuminvalve.core.exchange;

/**
 * An action to take for a request. Effects are applied in the order in which they are returned.
 *
 * @since 0.2
 */
public sealed interface ExchangeEffect {

  /**
   * Acquire a slot at a target.
   *
   * @param patienceMs time after which to report that no slot was available; milliseconds
   */
  record AcquireSlot(long patienceMs) implements ExchangeEffect {}

  /** Cancel the pending slot acquisition. */
  record CancelSlotRequest() implements ExchangeEffect {}

  /** Send the request to the target whose slot was acquired. */
  record Send() implements ExchangeEffect {}

  /** Forward the request to a peer that has a path to the targets and has not been tried. */
  record ForwardToPeer() implements ExchangeEffect {}

  /** Return the slot unused because it arrived after the final answer. */
  record ReturnSlot() implements ExchangeEffect {}

  /** Exclude the target of the last attempt from further attempts. */
  record AvoidTarget() implements ExchangeEffect {}

  /**
   * Wait for newer ownership data of the key; after the pause, try the same owner again.
   *
   * @param pauseMs the pause; milliseconds
   */
  record AwaitNewerOwners(long pauseMs) implements ExchangeEffect {}

  /**
   * Abort the current attempt and close its connection.
   *
   * @param late whether the attempt timed out, which counts as a failure of the target
   */
  record Abandon(boolean late) implements ExchangeEffect {}

  /**
   * Relay the target's answer to the caller. Final.
   *
   * @param failed whether the answer has an error status
   */
  record Relay(boolean failed) implements ExchangeEffect {}

  /**
   * Respond that the request has not run and will not run. Final.
   *
   * @param retryAfterMs delay after which the caller may retry; milliseconds
   * @param reason the reason, for the log; not null
   */
  record Refuse(long retryAfterMs, String reason) implements ExchangeEffect {}

  /**
   * Respond that the request may or may not have run. Final.
   *
   * @param timedOut whether the request timed out; false if the connection to the target broke
   * @param reason the reason, for the log; not null
   */
  record GiveUp(boolean timedOut, String reason) implements ExchangeEffect {}

  /** Discard the request without a response because the caller has disconnected. Final. */
  record Drop() implements ExchangeEffect {}

  /**
   * Returns whether this effect ends the request.
   *
   * @return true for exactly one effect of each request
   */
  default boolean isFinal() {
    return this instanceof Relay
        || this instanceof Refuse
        || this instanceof GiveUp
        || this instanceof Drop;
  }
}
