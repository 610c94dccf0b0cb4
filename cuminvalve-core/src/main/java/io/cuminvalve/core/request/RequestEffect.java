package io.cuminvalve.core.request;

import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Verdict;

/**
 * An action that the router must carry out for a request. The effects of one event are carried out
 * in order.
 *
 * @since 0.1
 */
public sealed interface RequestEffect {

  /**
   * Claim the operation at the routers that track it; the result is reported as an intent event.
   */
  record ClaimIntent() implements RequestEffect {}

  /**
   * Notify the routers that track the operation how it ended.
   *
   * @param verdict the result; NOT_RUN releases the idempotency key for a resend; not null
   */
  record SettleIntent(Verdict verdict) implements RequestEffect {}

  /**
   * Find the owner of the shard and acquire a slot there; the result is reported as an admission
   * event.
   *
   * @param attempt the number of the attempt, from 1
   */
  record Admit(int attempt) implements RequestEffect {}

  /**
   * Withdraw the request for a slot.
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
   * Return the slot; no part of this attempt is in flight any more.
   *
   * @param attempt the number of the attempt
   * @param use how the slot was used; not null
   */
  record ReleaseSlot(int attempt, SlotUse use) implements RequestEffect {}

  /**
   * Close the connection of the attempt without reusing it, ask the target to cancel the request,
   * and call {@link RequestStateMachine#onAttemptClosed} when that is done or has timed out. The
   * slot stays in use until then.
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
   * Relay the head of the answer, then stream its body.
   *
   * @param attempt the number of the attempt
   */
  record RelayHead(int attempt) implements RequestEffect {}

  /**
   * Discard and count an answer to an abandoned attempt.
   *
   * @param attempt the number of the attempt
   */
  record DropAnswer(int attempt) implements RequestEffect {}

  /**
   * End the request towards its caller. Occurs exactly once per request.
   *
   * @param outcome the outcome for the caller; ABORTED means to break the connection; not null
   */
  record Finish(Outcome outcome) implements RequestEffect {}
}
