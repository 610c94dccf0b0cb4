package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks the state machine under arbitrary event orders, including late and duplicate events. */
class ExchangeInterleavingsTest {

  private static final int EVENTS = 40;

  @Property(tries = 2_000, seed = "11")
  void exactlyOneCorrectFinalAnswer(
      @ForAll long seed, @ForAll boolean idempotent, @ForAll boolean keyed) {
    Random random = new Random(seed);
    SimulatedRequest simulated = new SimulatedRequest(idempotent, keyed, random);
    for (int i = 0; i < EVENTS; i++) {
      simulated.step(random.nextInt(7));
    }
    simulated.finish();
    assertThat(simulated.finalAnswers).isEqualTo(1);
    assertThat(idempotent || simulated.runs <= 1).isTrue();
    assertThat(simulated.runs).isAtMost(2);
    if (simulated.refused) {
      assertThat(simulated.runs).isEqualTo(0);
    }
    assertThat(simulated.slotsInUse).isEqualTo(0);
  }

  /** Simulates a request and its target, and records whether the request really ran. */
  private static final class SimulatedRequest {

    private final Random random;
    private final ExchangeStateMachine machine;
    private long nowMs;
    private boolean waitingForSlot;
    private boolean attempt;
    private boolean handedOver;
    private int runs;
    private int finalAnswers;
    private int slotsInUse;
    private boolean refused;

    SimulatedRequest(boolean idempotent, boolean keyed, Random random) {
      this.random = random;
      ExchangeProfile profile = new ExchangeProfile(idempotent, keyed, 2, 400, 0, 2_000);
      this.machine = new ExchangeStateMachine(profile, random::nextBoolean);
      apply(machine.onStart(false, 0));
    }

    void step(int kind) {
      nowMs += random.nextInt(60);
      switch (kind) {
        case 0 -> giveSlot();
        case 1 -> handOver();
        case 2 -> answer(random.nextBoolean() ? 200 : 500);
        case 3 -> refuse();
        case 4 -> fail();
        case 5 -> expireSlotWait();
        default -> disconnectSometimes();
      }
    }

    void finish() {
      apply(machine.onDeadline(handedOver));
      if (attempt) {
        endAttempt();
      }
      apply(machine.onDeadline(true));
    }

    private void giveSlot() {
      if (waitingForSlot) {
        waitingForSlot = false;
        slotsInUse++;
        apply(machine.onSlot());
      }
    }

    private void handOver() {
      if (attempt && !handedOver) {
        handedOver = true;
        runs++;
      }
    }

    private void answer(int status) {
      if (attempt && handedOver) {
        endAttempt();
        apply(machine.onAnswer(status, nowMs));
      }
    }

    private void refuse() {
      if (attempt && !handedOver) {
        endAttempt();
        apply(machine.onNotExecuted(nowMs));
      }
    }

    private void fail() {
      if (attempt) {
        boolean mayHaveRun = handedOver;
        endAttempt();
        apply(machine.onFailure(mayHaveRun, "reset", nowMs));
      }
    }

    private void expireSlotWait() {
      if (waitingForSlot) {
        waitingForSlot = false;
        apply(machine.onNoSlot("owner_busy"));
      }
    }

    private void disconnectSometimes() {
      if (random.nextInt(10) == 0) {
        apply(machine.onCallerGone());
      }
    }

    private void endAttempt() {
      attempt = false;
      handedOver = false;
      slotsInUse--;
    }

    private void apply(List<ExchangeEffect> effects) {
      for (ExchangeEffect effect : effects) {
        finalAnswers += effect.isFinal() ? 1 : 0;
        if (effect instanceof ExchangeEffect.AcquireSlot) {
          waitingForSlot = true;
        } else if (effect instanceof ExchangeEffect.CancelSlotRequest) {
          waitingForSlot = false;
        } else if (effect instanceof ExchangeEffect.Send) {
          attempt = true;
        } else if (effect instanceof ExchangeEffect.ReturnSlot) {
          slotsInUse--;
        } else if (effect instanceof ExchangeEffect.Abandon && attempt) {
          endAttempt();
        } else if (effect instanceof ExchangeEffect.Refuse) {
          refused = true;
        }
      }
    }
  }
}
