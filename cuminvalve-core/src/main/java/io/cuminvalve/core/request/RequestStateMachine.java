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
 * The life of one request at one router, from its arrival to its single outcome.
 *
 * <p>Rules that it keeps:
 *
 * <ul>
 *   <li>NOT_RUN is said only if no byte of any attempt was handed to a connection, except of
 *       attempts that the target refused in the way defined as before running.
 *   <li>A request with an idempotency key that is not idempotent is never told NOT_RUN before its
 *       claim is granted: an earlier request with the same key may have run.
 *   <li>An attempt that may have run is followed by another only if the request is idempotent.
 *   <li>Once the head of an answer was relayed, the request ends with the whole answer or with an
 *       aborted connection.
 *   <li>What comes for an attempt that was given up is dropped.
 *   <li>A slot is returned only when nothing of its attempt is in flight.
 * </ul>
 *
 * <p>Events of one request must not run concurrently; the machine holds no lock. Events that no
 * longer concern it return no effects.
 *
 * @since 0.1
 */
public final class RequestStateMachine {

  private static final List<RequestEffect> NOTHING = List.of();

  private final RequestProfile profile;
  private final RetryPolicy retryDecider;
  private RequestState state = RequestState.NEW;
  private int attempt;

  /** Whether an attempt of this request may have run. */
  private boolean mayHaveRun;

  /** Whether an earlier request with the same idempotency key may have run. */
  private boolean earlierMayHaveRun;

  private boolean bodyReplayable;

  /** The attempt that was given up and still holds its slot; 0 if there is none. */
  private int closingAttempt;

  private SlotUse closingUse = SlotUse.ABANDONED;

  /**
   * Creates the machine of a request that has just arrived.
   *
   * @param profile what it has to know of the request; not null
   * @param retryDecider decides on further attempts; not null
   */
  public RequestStateMachine(RequestProfile profile, RetryPolicy retryDecider) {
    this.profile = profile;
    this.retryDecider = retryDecider;
    this.bodyReplayable = profile.bodyReplayable();
    this.earlierMayHaveRun = profile.claimed();
  }

  /**
   * Returns the state.
   *
   * @return never null
   */
  public RequestState state() {
    return state;
  }

  /**
   * Returns the number of the current attempt.
   *
   * @return 0 before the first
   */
  public int attempt() {
    return attempt;
  }

  /**
   * Starts the request.
   *
   * @param nowMs the current time in milliseconds
   * @return effects
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
   * The routers that have to know of the operation know of it.
   *
   * @return effects
   */
  public List<RequestEffect> onIntentGranted() {
    if (state != RequestState.CLAIMING) {
      return NOTHING;
    }
    earlierMayHaveRun = false;
    return nextAttempt();
  }

  /**
   * The operation must not be sent: an earlier request has the idempotency key, or the routers that
   * have to know of it do not answer.
   *
   * @param earlier whether the operation of the key may have run; not null
   * @param reason the reason told to the caller; not null
   * @param retryAfterMs when to come back; milliseconds
   * @return effects
   */
  public List<RequestEffect> onIntentRefused(
      Verdict earlier, RefusalReason reason, long retryAfterMs) {
    if (state != RequestState.CLAIMING) {
      return NOTHING;
    }
    state = RequestState.ENDED;
    return List.of(new Finish(Outcome.refused(earlier, reason, retryAfterMs)));
  }

  /**
   * The request has a slot of the target that owns its shard.
   *
   * @param admitted the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return effects
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
   * The request gets no slot. It is answered at once.
   *
   * @param refused the number of the attempt
   * @param reason why; not null
   * @param retryAfterMs when to come back; milliseconds
   * @return effects
   */
  public List<RequestEffect> onAdmissionRefused(
      int refused, RefusalReason reason, long retryAfterMs) {
    if (state != RequestState.WAITING || refused != attempt) {
      return NOTHING;
    }
    return end(reason, retryAfterMs, new ArrayList<>());
  }

  /**
   * No connection could be made; no byte was handed to one.
   *
   * @param failed the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return effects
   */
  public List<RequestEffect> onConnectFailed(int failed, long nowMs) {
    if (isClosing(failed)) {
      return onAttemptClosed(failed);
    }
    if (state != RequestState.CONNECTING || failed != attempt) {
      return NOTHING;
    }
    List<RequestEffect> effects = release(failed, SlotUse.NOT_CONNECTED);
    return retryOrEnd(RefusalReason.CONNECT_FAILED, nowMs, effects);
  }

  /**
   * The first byte of the request is about to be handed to a connection.
   *
   * @param sent the number of the attempt
   * @return whether the router may go on; false if the attempt was given up meanwhile, so that no
   *     byte must be handed over
   */
  public boolean onFirstByte(int sent) {
    if (state != RequestState.CONNECTING || sent != attempt) {
      return false;
    }
    state = RequestState.SENT;
    return true;
  }

  /** A part of the body was read from the caller and not kept, so it cannot be sent again. */
  public void onBodyConsumed() {
    bodyReplayable = false;
  }

  /**
   * The target refused the request before running it.
   *
   * @param refused the number of the attempt
   * @param refusal how; not null
   * @param nowMs the current time in milliseconds
   * @return effects
   */
  public List<RequestEffect> onTargetRefused(int refused, TargetRefusal refusal, long nowMs) {
    if (isClosing(refused)) {
      return dropAndClose(refused);
    }
    if (state != RequestState.SENT || refused != attempt) {
      return NOTHING;
    }
    return retryOrEnd(refusal.reason(), nowMs, release(refused, SlotUse.REFUSED));
  }

  /**
   * The head of the answer was read.
   *
   * @param answered the number of the attempt
   * @return effects
   */
  public List<RequestEffect> onAnswerHead(int answered) {
    if (isClosing(answered)) {
      return List.of(new DropAnswer(answered));
    }
    if (state != RequestState.SENT || answered != attempt) {
      return NOTHING;
    }
    state = RequestState.ANSWERING;
    return List.of(new RelayHead(answered));
  }

  /**
   * The answer was read to its end.
   *
   * @param answered the number of the attempt
   * @return effects
   */
  public List<RequestEffect> onAnswerEnd(int answered) {
    if (isClosing(answered)) {
      return onAttemptClosed(answered);
    }
    if (state != RequestState.ANSWERING || answered != attempt) {
      return NOTHING;
    }
    List<RequestEffect> effects = release(answered, SlotUse.ANSWERED);
    return finish(Outcome.ANSWERED, effects);
  }

  /**
   * The connection broke after the first byte and before the end of the answer.
   *
   * @param cut the number of the attempt
   * @param nowMs the current time in milliseconds
   * @return effects
   */
  public List<RequestEffect> onAnswerCut(int cut, long nowMs) {
    if (isClosing(cut)) {
      return onAttemptClosed(cut);
    }
    if (cut != attempt) {
      return NOTHING;
    }
    if (state == RequestState.ANSWERING) {
      return abort(RefusalReason.ANSWER_CUT, release(cut, SlotUse.BROKEN));
    }
    if (state != RequestState.SENT) {
      return NOTHING;
    }
    mayHaveRun = true;
    List<RequestEffect> effects = release(cut, SlotUse.BROKEN);
    return profile.idempotent()
        ? retryOrEnd(RefusalReason.ANSWER_CUT, nowMs, effects)
        : end(RefusalReason.ANSWER_CUT, 0, effects);
  }

  /**
   * The deadline passed.
   *
   * @return effects
   */
  public List<RequestEffect> onDeadline() {
    return giveUp(RefusalReason.DEADLINE_EXCEEDED, End.REFUSED);
  }

  /**
   * The caller went away.
   *
   * @return effects
   */
  public List<RequestEffect> onCallerGone() {
    return giveUp(RefusalReason.CALLER_CANCELLED, End.CALLER_GONE);
  }

  /**
   * The router is stopping: what has not been sent is refused, what is in flight goes on.
   *
   * @param retryAfterMs when to come back; milliseconds
   * @return effects
   */
  public List<RequestEffect> onRouterStopping(long retryAfterMs) {
    return switch (state) {
      case WAITING -> end(RefusalReason.ROUTER_STOPPING, retryAfterMs, withdraw());
      case CLAIMING, BACKING_OFF ->
          end(RefusalReason.ROUTER_STOPPING, retryAfterMs, new ArrayList<>());
      default -> NOTHING;
    };
  }

  /**
   * The delay before the next attempt is over.
   *
   * @return effects
   */
  public List<RequestEffect> onRetryTimer() {
    return state == RequestState.BACKING_OFF ? nextAttempt() : NOTHING;
  }

  /**
   * An attempt that was given up is over at the target as far as the router can tell.
   *
   * @param closed the number of the attempt
   * @return effects
   */
  public List<RequestEffect> onAttemptClosed(int closed) {
    if (!isClosing(closed)) {
      return NOTHING;
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
        bodyReplayable ? retryDecider.delayMs(attempt, remainingMs, nowMs) : RetryPolicy.NO_RETRY;
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
        End visible = end == End.CALLER_GONE ? End.CALLER_GONE : End.ABORTED;
        yield finish(outcome(visible, reason, 0), abandon(end));
      }
      case ENDED -> NOTHING;
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
    boolean retry = verdict == Verdict.NOT_RUN || profile.idempotent() || profile.claimed();
    long leastMs = retry ? RetryDefaults.DEFAULT_RETRY_AFTER_MS : 0;
    return new Outcome(end, verdict, reason, retryAfterMs > 0 ? retryAfterMs : leastMs);
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
