package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeStateMachineTest {

  private static final long DEADLINE_MS = 1_000;

  private int budget = 10;

  @Test
  void answerIsRelayed() {
    ExchangeStateMachine machine = machine(false, true);
    assertThat(machine.onStart(false, 0)).containsExactly(new ExchangeEffect.AcquireSlot(70));
    assertThat(machine.onSlot()).containsExactly(new ExchangeEffect.Send());
    assertThat(machine.onAnswer(200, 100)).containsExactly(new ExchangeEffect.Relay(false));
  }

  @Test
  void missingSlotIsRefusedWithRetryDelay() {
    ExchangeStateMachine machine = machine(true, true);
    machine.onStart(false, 0);
    assertThat(machine.onNoSlot("owner_busy"))
        .containsExactly(new ExchangeEffect.Refuse(500, "owner_busy"));
    ExchangeStateMachine other = machine(true, true);
    other.onStart(false, 0);
    assertThat(other.onNoSlot("key_on_the_move"))
        .containsExactly(new ExchangeEffect.Refuse(250, "key_on_the_move"));
  }

  @Test
  void shedRequestNeverSeeksSlot() {
    assertThat(machine(true, true).onStart(true, 0))
        .containsExactly(new ExchangeEffect.Refuse(500, "overload_busy"));
  }

  @Test
  void requestThatMayHaveRunIsRetriedOnlyIfIdempotent() {
    ExchangeStateMachine once = sent(false, false);
    assertThat(once.onFailure(true, "reset", 50))
        .containsExactly(new ExchangeEffect.GiveUp(false, "reset"));
    ExchangeStateMachine often = sent(true, false);
    assertThat(often.onFailure(true, "reset", 50))
        .containsExactly(new ExchangeEffect.AvoidTarget(), new ExchangeEffect.AcquireSlot(40))
        .inOrder();
  }

  @Test
  void quarantinedRequestIsRefusedOnlyIfItHasNotRun() {
    ExchangeStateMachine fresh = machine(true, true);
    assertThat(fresh.onQuarantined(30_000))
        .containsExactly(new ExchangeEffect.Refuse(30_000, "quarantined"));
    assertThat(fresh.onQuarantined(30_000)).isEmpty();
    ExchangeStateMachine broken = sent(true, true);
    broken.onFailure(true, "reset", 10);
    assertThat(broken.onQuarantined(30_000))
        .containsExactly(new ExchangeEffect.GiveUp(false, "quarantined"));
  }

  @Test
  void theStopLimitPromisesNotRunOnlyIfNothingWasSent() {
    ExchangeStateMachine waiting = machine(true, false);
    waiting.onStart(false, 0);
    assertThat(waiting.onStopLimit(false))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(), new ExchangeEffect.Refuse(250, "stop_limit"))
        .inOrder();
    assertThat(waiting.onStopLimit(false)).isEmpty();
    ExchangeStateMachine running = sent(true, false);
    assertThat(running.onStopLimit(true))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.GiveUp(true, "stop_limit"),
            new ExchangeEffect.Abandon(false))
        .inOrder();
    ExchangeStateMachine ranBefore = sent(true, false);
    ranBefore.onFailure(true, "reset", 10);
    assertThat(ranBefore.onStopLimit(false))
        .contains(new ExchangeEffect.GiveUp(true, "stop_limit"));
  }

  @Test
  void runsOnAtMostMaxAttemptsTargets() {
    ExchangeStateMachine machine = sent(true, false);
    machine.onFailure(true, "reset", 10);
    machine.onSlot();
    assertThat(machine.onFailure(true, "reset", 20))
        .containsExactly(new ExchangeEffect.GiveUp(false, "reset"));
    assertThat(machine.runs()).isEqualTo(2);
  }

  @Test
  void proofOfNotRunAllowsRetry() {
    ExchangeStateMachine machine = sent(false, true);
    assertThat(machine.onNotExecuted(10))
        .containsExactly(
            new ExchangeEffect.AwaitNewerOwners(40), new ExchangeEffect.AcquireSlot(60))
        .inOrder();
    machine.onSlot();
    assertThat(machine.onAnswer(200, 90)).containsExactly(new ExchangeEffect.Relay(false));
  }

  @Test
  void tooManyRefusalsEndRequest() {
    ExchangeStateMachine machine = sent(false, true);
    for (int i = 0; i < 3; i++) {
      assertThat(machine.onNotExecuted(10)).hasSize(2);
      machine.onSlot();
    }
    assertThat(machine.onNotExecuted(10))
        .containsExactly(new ExchangeEffect.Refuse(250, "refused_by_target"));
  }

  @Test
  void noRetryWithoutBudget() {
    budget = 0;
    assertThat(sent(true, false).onFailure(true, "reset", 10))
        .containsExactly(new ExchangeEffect.GiveUp(false, "reset"));
    assertThat(sent(true, false).onNotExecuted(10))
        .containsExactly(new ExchangeEffect.Refuse(250, "refused_by_target"));
  }

  @Test
  void noRetryWithoutRemainingTime() {
    assertThat(sent(true, false).onFailure(true, "reset", DEADLINE_MS - 40))
        .containsExactly(new ExchangeEffect.GiveUp(false, "reset"));
  }

  @Test
  void unsentAttemptsNeedNoBudget() {
    budget = 0;
    assertThat(sent(false, false).onFailure(false, "refused", 10)).hasSize(2);
  }

  @Test
  void errorOfUnkeyedServiceIsRetriedElsewhere() {
    assertThat(sent(true, false).onAnswer(500, 10)).contains(new ExchangeEffect.AvoidTarget());
    assertThat(sent(true, true).onAnswer(500, 10)).containsExactly(new ExchangeEffect.Relay(true));
    assertThat(sent(false, false).onAnswer(503, 10))
        .containsExactly(new ExchangeEffect.Relay(true));
  }

  @Test
  void deadlineAnswersImmediately() {
    assertThat(sent(true, true).onDeadline(true))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.GiveUp(true, "timeout"),
            new ExchangeEffect.Abandon(true))
        .inOrder();
    assertThat(sent(true, true).onDeadline(false))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.Refuse(250, "timeout_unsent"),
            new ExchangeEffect.Abandon(true))
        .inOrder();
    ExchangeStateMachine waiting = machine(true, true);
    waiting.onStart(false, 0);
    assertThat(waiting.onDeadline(false))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.Refuse(250, "timeout_unsent"))
        .inOrder();
  }

  @Test
  void deadlineAccountsForEarlierRun() {
    ExchangeStateMachine machine = sent(true, false);
    machine.onFailure(true, "reset", 10);
    assertThat(machine.onDeadline(false)).contains(new ExchangeEffect.GiveUp(true, "timeout"));
  }

  @Test
  void callerDisconnectAbortsAttempt() {
    assertThat(sent(true, true).onCallerGone())
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.Abandon(false),
            new ExchangeEffect.Drop())
        .inOrder();
  }

  /** The caller's disconnect may be detected just before its request starts. */
  @Test
  void callerDisconnectBeforeStartEndsRequest() {
    ExchangeStateMachine machine = machine(true, true);
    assertThat(machine.onCallerGone())
        .containsExactly(new ExchangeEffect.CancelSlotRequest(), new ExchangeEffect.Drop())
        .inOrder();
    assertThat(machine.onStart(false, 0)).isEmpty();
    assertThat(machine.onStart(true, 0)).isEmpty();
  }

  @Test
  void eventsAfterFinalAnswerHaveNoEffect() {
    ExchangeStateMachine machine = sent(true, true);
    machine.onDeadline(true);
    assertThat(machine.onAnswer(200, 2_000)).isEmpty();
    assertThat(machine.onNotExecuted(2_000)).isEmpty();
    assertThat(machine.onFailure(true, "reset", 2_000)).isEmpty();
    assertThat(machine.onNoSlot("owner_busy")).isEmpty();
    assertThat(machine.onCallerGone()).isEmpty();
    assertThat(machine.onDeadline(true)).isEmpty();
    assertThat(machine.onSlot()).containsExactly(new ExchangeEffect.ReturnSlot());
  }

  private ExchangeStateMachine sent(boolean idempotent, boolean keyed) {
    ExchangeStateMachine machine = machine(idempotent, keyed);
    machine.onStart(false, 0);
    List<ExchangeEffect> effects = machine.onSlot();
    assertThat(effects).containsExactly(new ExchangeEffect.Send());
    return machine;
  }

  private ExchangeStateMachine machine(boolean idempotent, boolean keyed) {
    ExchangeProfile profile = new ExchangeProfile(idempotent, keyed, 2, 400, 0, DEADLINE_MS);
    return new ExchangeStateMachine(profile, () -> budget-- > 0);
  }
}
