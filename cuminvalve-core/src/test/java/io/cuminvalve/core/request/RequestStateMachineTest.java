package io.cuminvalve.core.request;

import static com.google.common.truth.Truth.assertThat;

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
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Outcome.End;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

/** Tests single paths of {@link RequestStateMachine}; random runs cover their combinations. */
class RequestStateMachineTest {

  private static final long DEADLINE_MS = 1000;
  private static final RequestProfile READ = new RequestProfile(true, false, true, DEADLINE_MS);
  private static final RequestProfile PAYOUT = new RequestProfile(false, true, true, DEADLINE_MS);

  @Test
  void relaysCompleteAnswer() {
    RequestStateMachine machine = new RequestStateMachine(PAYOUT, (failed, remaining, now) -> 10);
    assertThat(machine.start(0)).containsExactly(new ClaimIntent());
    assertThat(machine.onIntentGranted()).containsExactly(new Admit(1));
    assertThat(machine.onAdmitted(1, 0)).containsExactly(new Dispatch(1));
    assertThat(machine.onFirstByte(1)).isTrue();
    assertThat(machine.onAnswerHead(1)).containsExactly(new RelayHead(1));
    assertThat(machine.onAnswerEnd(1))
        .containsExactly(
            new ReleaseSlot(1, SlotUse.ANSWERED),
            new SettleIntent(Verdict.RAN),
            new Finish(Outcome.ANSWERED))
        .inOrder();
  }

  @Test
  void retriesNonIdempotentRequestOnlyAfterRefusal() {
    RequestStateMachine machine = sent(PAYOUT);
    assertThat(machine.onTargetRefused(1, TargetRefusal.DRAINING, 5))
        .containsExactly(new ReleaseSlot(1, SlotUse.REFUSED), new RetryAfter(10))
        .inOrder();
    assertThat(machine.onRetryTimer()).containsExactly(new Admit(2));
    machine.onAdmitted(2, 20);
    machine.onFirstByte(2);
    assertThat(machine.onAnswerCut(2, 30))
        .containsExactly(
            new ReleaseSlot(2, SlotUse.BROKEN),
            new SettleIntent(Verdict.MAY_HAVE_RUN),
            refusal(Verdict.MAY_HAVE_RUN, RefusalReason.ANSWER_CUT, 250))
        .inOrder();
  }

  @Test
  void brokenAnswerAfterHeadAbortsCallerConnection() {
    RequestStateMachine machine = sent(READ);
    machine.onAnswerHead(1);
    assertThat(machine.onAnswerCut(1, 30))
        .containsExactly(
            new ReleaseSlot(1, SlotUse.BROKEN),
            new Finish(
                new Outcome(End.ABORTED, Verdict.MAY_HAVE_RUN, RefusalReason.ANSWER_CUT, 250)));
  }

  @Test
  void deadlineWhileConnectingForbidsFirstByte() {
    RequestStateMachine machine = waiting(READ);
    machine.onAdmitted(1, 0);
    assertThat(machine.onDeadline()).contains(new CancelAtTarget(1));
    assertThat(machine.onFirstByte(1)).isFalse();
    assertThat(machine.onConnectFailed(1, 1001))
        .containsExactly(new ReleaseSlot(1, SlotUse.ABANDONED));
  }

  @Test
  void answerAfterDeadlineIsDroppedAndSlotHeldUntilClosed() {
    RequestStateMachine machine = sent(READ);
    assertThat(machine.onDeadline())
        .containsExactly(
            new CancelAtTarget(1),
            refusal(Verdict.MAY_HAVE_RUN, RefusalReason.DEADLINE_EXCEEDED, 250))
        .inOrder();
    assertThat(machine.onAnswerHead(1)).containsExactly(new DropAnswer(1));
    assertThat(machine.onAttemptClosed(1)).containsExactly(new ReleaseSlot(1, SlotUse.ABANDONED));
    assertThat(machine.onAttemptClosed(1)).isEmpty();
  }

  @Test
  void callerDisconnectReleasesSlotAsCancelled() {
    RequestStateMachine machine = sent(READ);
    assertThat(machine.onCallerGone()).contains(new CancelAtTarget(1));
    assertThat(machine.onAnswerEnd(1)).containsExactly(new ReleaseSlot(1, SlotUse.CANCELLED));
  }

  private static Finish refusal(Verdict verdict, RefusalReason reason, long retryAfterMs) {
    return new Finish(Outcome.refused(verdict, reason, retryAfterMs));
  }

  private static RequestStateMachine waiting(RequestProfile profile) {
    RequestStateMachine machine = new RequestStateMachine(profile, (failed, remaining, now) -> 10);
    machine.start(0);
    machine.onIntentGranted();
    return machine;
  }

  private static RequestStateMachine sent(RequestProfile profile) {
    RequestStateMachine machine = waiting(profile);
    machine.onAdmitted(1, 0);
    machine.onFirstByte(1);
    return machine;
  }
}
