package io.cuminvalve.core.request;

import io.cuminvalve.core.request.RequestEffect.Admit;
import io.cuminvalve.core.request.RequestEffect.CancelAtTarget;
import io.cuminvalve.core.request.RequestEffect.ClaimIntent;
import io.cuminvalve.core.request.RequestEffect.Dispatch;
import io.cuminvalve.core.request.RequestEffect.DropAnswer;
import io.cuminvalve.core.request.RequestEffect.Finish;
import io.cuminvalve.core.request.RequestEffect.RelayHead;
import io.cuminvalve.core.request.RequestEffect.ReleaseSlot;
import io.cuminvalve.core.request.RequestEffect.RetryAfter;
import io.cuminvalve.core.request.RequestEffect.SettleIntent;
import io.cuminvalve.core.request.RequestEffect.WithdrawAdmission;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Outcome.End;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of one request at one router, from its arrival to its single outcome.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The verdict is NOT_RUN only if no byte of any attempt was handed to a connection, except
 *       for attempts that the target refused in a way that is defined as a refusal before running.
 *   <li>A request that is not idempotent and has an idempotency key never gets the verdict NOT_RUN
 *       before its claim is granted, because an earlier request with the same key may have run.
 *   <li>An attempt that may have run is retried only if the request is idempotent.
 *   <li>Once the head of an answer was relayed, the request ends with the complete answer or with
 *       an aborted connection.
 *   <li>Answers to abandoned attempts are discarded.
 *   <li>A slot is returned only when no part of its attempt is in flight.
 * </ul>
 *
 * <p>Not thread-safe: the caller serialises the events of one request. Events that no longer apply
 * return no effects.
 *
 * @since 0.1
 */
public final class RequestStateMachine {

  private static final List<RequestEffect> NO_EFFECTS = List.of();

  private final RequestProfile profile;
  private final RetryPolicy retryPolicy;
  private RequestState state = RequestState.NEW;
  private int attempt;

  /** Whether an attempt of this request may have run. */
  private boolean mayHaveRun;

  /** Whether an earlier request with the same idempotency key may have run. */
  private boolean earlierMayHaveRun;

  private boolean bodyReplayable;

  /** The abandoned attempt that still holds its slot; 0 if there is none. */
  private int closingAttempt;

  private SlotUse closingUse = SlotUse.ABANDONED;

  /**
   * Creates the state machine of a request that has just arrived.
   *
   * @param profile the relevant properties of the request; not null
   * @param retryPolicy decides on retries; not null
   */
  public RequestStateMachine(RequestProfile profile, RetryPolicy retryPolicy) {
    this.profile = profile;
    this.retryPolicy = retryPolicy;
    this.bodyReplayable = profile.bodyReplayable();
    this.earlierMayHaveRun = profile.claimed();
  }

  /**
   * Returns the current state.
   *
   * @return the state; never null
   */
  public RequestState state() {
    return state;
  }

  /**
   * Returns the number of the current attempt.
   *
   * @return the number; 0 before the first attempt
   */
  public int attempt() {
    return attempt;
  }

  /**
   * Starts the request.
   *
   * @param nowMs the current time in milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> start(long nowMs) {
    if (nowMs >= profile.deadlineMs()) {
      return end(RefusalReason.DEADLINE_EXCEEDED, 0, new ArrayList<>());
    }
    if (profile.claimed()) {
      state = RequestState.CLAIMING;
      return List.of(new ClaimIntent());
    }
    return nextAttempt();
  }

  /**
   * Called when the claim was granted: the routers that track the operation have recorded it.
   *
   * @return the effects; never null
   */
  public List<RequestEffect> onIntentGranted() {
    if (state != RequestState.CLAIMING) {
      return NO_EFFECTS;
    }
    earlierMayHaveRun = false;
    return nextAttempt();
  }

  /**
   * Called when the claim was refused: an earlier request has the same idempotency key, or the
   * routers that track the operation do not answer.
   *
   * @param earlier whether the operation of the key may have run; not null
   * @param reason the reason reported to the caller; not null
   * @param retryAfterMs when to retry; milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onIntentRefused(
      Verdict earlier, RefusalReason reason, long retryAfterMs) {
    if (state != RequestState.CLAIMING) {
      return NO_EFFECTS;
    }
    state = RequestState.ENDED;
    return List.of(new Finish(Outcome.refused(earlier, reason, retryAfterMs)));
  }

  /**
   * Called when a slot of the target that owns the shard was granted.
   *
   * @param admitted the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onAdmitted(int admitted, long nowMs) {
    if (state != RequestState.WAITING || admitted != attempt) {
      return List.of(new ReleaseSlot(admitted, SlotUse.UNUSED));
    }
    if (nowMs >= profile.deadlineMs()) {
      List<RequestEffect> effects = new ArrayList<>();
      effects.add(new ReleaseSlot(admitted, SlotUse.UNUSED));
      return end(RefusalReason.DEADLINE_EXCEEDED, 0, effects);
    }
    state = RequestState.CONNECTING;
    return List.of(new Dispatch(admitted));
  }

  /**
   * Called when no slot was granted; the request ends immediately.
   *
   * @param refused the number of the attempt
   * @param reason the reason; not null
   * @param retryAfterMs when to retry; milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onAdmissionRefused(
      int refused, RefusalReason reason, long retryAfterMs) {
    if (state != RequestState.WAITING || refused != attempt) {
      return NO_EFFECTS;
    }
    return end(reason, retryAfterMs, new ArrayList<>());
  }

  /**
   * Called when connecting failed; no byte was handed to a connection.
   *
   * @param failed the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onConnectFailed(int failed, long nowMs) {
    if (isClosing(failed)) {
      return onAttemptClosed(failed);
    }
    if (state != RequestState.CONNECTING || failed != attempt) {
      return NO_EFFECTS;
    }
    List<RequestEffect> effects = release(failed, SlotUse.NOT_CONNECTED);
    return retryOrEnd(RefusalReason.CONNECT_FAILED, nowMs, effects);
  }

  /**
   * Called before the first byte of the request is handed to a connection.
   *
   * @param sent the number of the attempt
   * @return whether the router may proceed; false if the attempt was abandoned meanwhile, so that
   *     no byte may be sent
   */
  public boolean onFirstByte(int sent) {
    if (state != RequestState.CONNECTING || sent != attempt) {
      return false;
    }
    state = RequestState.SENT;
    return true;
  }

  /** Called when part of the body was read without buffering it, so that it cannot be resent. */
  public void onBodyConsumed() {
    bodyReplayable = false;
  }

  /**
   * Called when the target refused the request before running it.
   *
   * @param refused the number of the attempt
   * @param refusal the kind of refusal; not null
   * @param nowMs the current time in milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onTargetRefused(int refused, TargetRefusal refusal, long nowMs) {
    if (isClosing(refused)) {
      return dropAndClose(refused);
    }
    if (state != RequestState.SENT || refused != attempt) {
      return NO_EFFECTS;
    }
    return retryOrEnd(refusal.reason(), nowMs, release(refused, SlotUse.REFUSED));
  }

  /**
   * Called when the head of the answer was read.
   *
   * @param answered the number of the attempt
   * @return the effects; never null
   */
  public List<RequestEffect> onAnswerHead(int answered) {
    if (isClosing(answered)) {
      return List.of(new DropAnswer(answered));
    }
    if (state != RequestState.SENT || answered != attempt) {
      return NO_EFFECTS;
    }
    state = RequestState.ANSWERING;
    return List.of(new RelayHead(answered));
  }

  /**
   * Called when the answer was read completely.
   *
   * @param answered the number of the attempt
   * @return the effects; never null
   */
  public List<RequestEffect> onAnswerEnd(int answered) {
    if (isClosing(answered)) {
      return onAttemptClosed(answered);
    }
    if (state != RequestState.ANSWERING || answered != attempt) {
      return NO_EFFECTS;
    }
    List<RequestEffect> effects = release(answered, SlotUse.ANSWERED);
    return finish(Outcome.ANSWERED, effects);
  }

  /**
   * Called when the connection broke after the first byte and before the end of the answer.
   *
   * @param cut the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onAnswerCut(int cut, long nowMs) {
    if (isClosing(cut)) {
      return onAttemptClosed(cut);
    }
    if (cut != attempt) {
      return NO_EFFECTS;
    }
    if (state == RequestState.ANSWERING) {
      return abort(RefusalReason.ANSWER_CUT, release(cut, SlotUse.BROKEN));
    }
    if (state != RequestState.SENT) {
      return NO_EFFECTS;
    }
    mayHaveRun = true;
    List<RequestEffect> effects = release(cut, SlotUse.BROKEN);
    return profile.idempotent()
        ? retryOrEnd(RefusalReason.ANSWER_CUT, nowMs, effects)
        : end(RefusalReason.ANSWER_CUT, 0, effects);
  }

  /**
   * Called when the deadline passed.
   *
   * @return the effects; never null
   */
  public List<RequestEffect> onDeadline() {
    return giveUp(RefusalReason.DEADLINE_EXCEEDED, End.REFUSED);
  }

  /**
   * Called when the caller disconnected.
   *
   * @return the effects; never null
   */
  public List<RequestEffect> onCallerGone() {
    return giveUp(RefusalReason.CALLER_CANCELLED, End.CALLER_GONE);
  }

  /**
   * Called when the router is stopping. A request that has not been sent is refused; a request in
   * flight continues.
   *
   * @param retryAfterMs when to retry; milliseconds
   * @return the effects; never null
   */
  public List<RequestEffect> onRouterStopping(long retryAfterMs) {
    return switch (state) {
      case WAITING -> end(RefusalReason.ROUTER_STOPPING, retryAfterMs, withdraw());
      case CLAIMING, BACKING_OFF ->
          end(RefusalReason.ROUTER_STOPPING, retryAfterMs, new ArrayList<>());
      default -> NO_EFFECTS;
    };
  }

  /**
   * Called when the delay before the next attempt is over.
   *
   * @return the effects; never null
   */
  public List<RequestEffect> onRetryTimer() {
    return state == RequestState.BACKING_OFF ? nextAttempt() : NO_EFFECTS;
  }

  /**
   * Called when an abandoned attempt has ended at the target, as far as the router can tell.
   *
   * @param closed the number of the attempt
   * @return the effects; never null
   */
  public List<RequestEffect> onAttemptClosed(int closed) {
    if (!isClosing(closed)) {
      return NO_EFFECTS;
    }
    closingAttempt = 0;
    return List.of(new ReleaseSlot(closed, closingUse));
  }

  private boolean isClosing(int number) {
    return closingAttempt != 0 && closingAttempt == number;
  }

  private List<RequestEffect> dropAndClose(int number) {
    closingAttempt = 0;
    return List.of(new DropAnswer(number), new ReleaseSlot(number, SlotUse.REFUSED));
  }

  private List<RequestEffect> nextAttempt() {
    attempt++;
    state = RequestState.WAITING;
    return List.of(new Admit(attempt));
  }

  private List<RequestEffect> retryOrEnd(
      RefusalReason reason, long nowMs, List<RequestEffect> effects) {
    long remainingMs = profile.deadlineMs() - nowMs;
    long delayMs =
        bodyReplayable ? retryPolicy.delayMs(attempt, remainingMs, nowMs) : RetryPolicy.NO_RETRY;
    if (delayMs == RetryPolicy.NO_RETRY || delayMs >= remainingMs) {
      return end(reason, RetryDefaults.DEFAULT_RETRY_AFTER_MS, effects);
    }
    state = RequestState.BACKING_OFF;
    effects.add(new RetryAfter(delayMs));
    return effects;
  }

  private List<RequestEffect> giveUp(RefusalReason reason, End end) {
    return switch (state) {
      case NEW, CLAIMING, BACKING_OFF -> finish(outcome(end, reason, 0), new ArrayList<>());
      case WAITING -> finish(outcome(end, reason, 0), withdraw());
      case CONNECTING -> finish(outcome(end, reason, 0), abandon(end));
      case SENT -> {
        mayHaveRun = true;
        yield finish(outcome(end, reason, 0), abandon(end));
      }
      case ANSWERING -> {
        mayHaveRun = true;
        End visibleEnd = end == End.CALLER_GONE ? End.CALLER_GONE : End.ABORTED;
        yield finish(outcome(visibleEnd, reason, 0), abandon(end));
      }
      case ENDED -> NO_EFFECTS;
    };
  }

  private List<RequestEffect> withdraw() {
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new WithdrawAdmission(attempt));
    return effects;
  }

  private List<RequestEffect> abandon(End end) {
    closingAttempt = attempt;
    closingUse = end == End.CALLER_GONE ? SlotUse.CANCELLED : SlotUse.ABANDONED;
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new CancelAtTarget(attempt));
    return effects;
  }

  private static List<RequestEffect> release(int number, SlotUse use) {
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new ReleaseSlot(number, use));
    return effects;
  }

  private List<RequestEffect> abort(RefusalReason reason, List<RequestEffect> effects) {
    mayHaveRun = true;
    return finish(outcome(End.ABORTED, reason, 0), effects);
  }

  private List<RequestEffect> end(
      RefusalReason reason, long retryAfterMs, List<RequestEffect> effects) {
    return finish(outcome(End.REFUSED, reason, retryAfterMs), effects);
  }

  private Outcome outcome(End end, RefusalReason reason, long retryAfterMs) {
    Verdict verdict = mayHaveRun || earlierMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    boolean retrySafe = verdict == Verdict.NOT_RUN || profile.idempotent() || profile.claimed();
    long defaultRetryAfterMs = retrySafe ? RetryDefaults.DEFAULT_RETRY_AFTER_MS : 0;
    return new Outcome(end, verdict, reason, retryAfterMs > 0 ? retryAfterMs : defaultRetryAfterMs);
  }

  private List<RequestEffect> finish(Outcome outcome, List<RequestEffect> effects) {
    state = RequestState.ENDED;
    if (profile.claimed()) {
      boolean ran = outcome.verdict() == Verdict.RAN;
      Verdict own = mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
      effects.add(new SettleIntent(ran ? Verdict.RAN : own));
    }
    effects.add(new Finish(outcome));
    return effects;
  }
}
