package io.cuminvalve.core.request;

import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Verdict;

/**
 * What the router has to do for a request. Effects of one event are carried out in their order.
 *
 * @since 0.1
 */
public sealed interface RequestEffect {

  /** Make other routers know of the operation; answer with an intent event. */
  record ClaimIntent() implements RequestEffect {}

  /**
   * Tell the routers that know of the operation how it ended.
   *
   * @param verdict NOT_RUN frees the idempotency key for a resend; not null
   */
  record SettleIntent(Verdict verdict) implements RequestEffect {}

  /**
   * Find the owner of the shard and get a slot there; answer with an admission event.
   *
   * @param attempt the number of the attempt, from 1
   */
  record Admit(int attempt) implements RequestEffect {}

  /**
   * Give up waiting for a slot.
   *
   * @param attempt the number of the attempt
   */
  record WithdrawAdmission(int attempt) implements RequestEffect {}

  /**
   * Send the request to the admitted target.
   *
   * @param attempt the number of the attempt
   */
  record Dispatch(int attempt) implements RequestEffect {}

  /**
   * Return the slot: nothing of this attempt is in flight any more.
   *
   * @param attempt the number of the attempt
   * @param use how the slot was used; not null
   */
  record ReleaseSlot(int attempt, SlotUse use) implements RequestEffect {}

  /**
   * Close the connection of the attempt, never reuse it, ask the target to cancel the request, and
   * report with {@link RequestStateMachine#onAttemptClosed} when that is done or has timed out. The
   * slot stays taken until then.
   *
   * @param attempt the number of the attempt
   */
  record CancelAtTarget(int attempt) implements RequestEffect {}

  /**
   * Call {@link RequestStateMachine#onRetryTimer} after a delay.
   *
   * @param delayMs milliseconds
   */
  record RetryAfter(long delayMs) implements RequestEffect {}

  /**
   * Relay the head of the answer and then its body as it comes.
   *
   * @param attempt the number of the attempt
   */
  record RelayHead(int attempt) implements RequestEffect {}

  /**
   * Drop what came for an attempt that was given up, and count it.
   *
   * @param attempt the number of the attempt
   */
  record DropAnswer(int attempt) implements RequestEffect {}

  /**
   * End the request towards its caller. Comes exactly once.
   *
   * @param outcome what the caller sees; ABORTED: break the connection; not null
   */
  record Finish(Outcome outcome) implements RequestEffect {}
}
