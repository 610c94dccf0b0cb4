package io.cuminvalve.core.exchange;

/**
 * Something to be done for a request, in the order in which effects are returned.
 *
 * @since 0.2
 */
public sealed interface ExchangeEffect {

  /**
   * Look for a slot at a target.
   *
   * @param patienceMs after which time to report that there was none; milliseconds
   */
  record AcquireSlot(long patienceMs) implements ExchangeEffect {}

  /** Look for a slot no longer. */
  record CancelSlotRequest() implements ExchangeEffect {}

  /** Send the request to the target whose slot was given. */
  record Send() implements ExchangeEffect {}

  /** Give the slot back unused: it came too late. */
  record ReturnSlot() implements ExchangeEffect {}

  /** Do not look at the target of the last attempt again. */
  record AvoidTarget() implements ExchangeEffect {}

  /**
   * Look for newer owners of the key; after a pause ask the same one again.
   *
   * @param pauseMs how long; milliseconds
   */
  record AwaitNewerOwners(long pauseMs) implements ExchangeEffect {}

  /**
   * End the attempt that is under way and close its connection.
   *
   * @param late whether the target took too long, which counts against it
   */
  record Abandon(boolean late) implements ExchangeEffect {}

  /**
   * Pass the target's answer on. Final.
   *
   * @param failed whether the target says that it failed
   */
  record Relay(boolean failed) implements ExchangeEffect {}

  /**
   * Answer that the request has not run and never will. Final.
   *
   * @param retryAfterMs when the caller should come back; milliseconds
   * @param reason for the log; not null
   */
  record Refuse(long retryAfterMs, String reason) implements ExchangeEffect {}

  /**
   * Answer that nothing is known of whether the request ran. Final.
   *
   * @param timedOut whether its time is over, rather than that the connection to the target broke
   * @param reason for the log; not null
   */
  record GiveUp(boolean timedOut, String reason) implements ExchangeEffect {}

  /** The caller is gone: nothing is left to answer. Final. */
  record Drop() implements ExchangeEffect {}

  /**
   * Tells whether nothing follows.
   *
   * @return true for the one effect that ends a request
   */
  default boolean isFinal() {
    return this instanceof Relay
        || this instanceof Refuse
        || this instanceof GiveUp
        || this instanceof Drop;
  }
}
