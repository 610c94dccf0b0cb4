package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Any order of events, also late and doubled ones. */
class ExchangeInterleavingsTest {

  private static final int EVENTS = 40;

  @Property(tries = 2_000, seed = "11")
  void thereIsOneFinalAnswerAndItIsTrue(
      @ForAll long seed, @ForAll boolean idempotent, @ForAll boolean keyed) {
    Random random = new Random(seed);
    World world = new World(idempotent, keyed, random);
    for (int i = 0; i < EVENTS; i++) {
      world.step(random.nextInt(7));
    }
    world.finish();
    assertThat(world.finals).isEqualTo(1);
    assertThat(idempotent || world.runs <= 1).isTrue();
    assertThat(world.runs).isAtMost(2);
    if (world.saidNotRun) {
      assertThat(world.runs).isEqualTo(0);
    }
    assertThat(world.slotsOut).isEqualTo(0);
  }

  /** A request with its target; knows what really ran. */
  private static final class World {

    private final Random random;
    private final ExchangeStateMachine machine;
    private long nowMs;
    private boolean seeking;
    private boolean attempt;
    private boolean handedOver;
    private int runs;
    private int finals;
    private int slotsOut;
    private boolean saidNotRun;

    World(boolean idempotent, boolean keyed, Random random) {
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
        case 5 -> runOutOfPatience();
        default -> leaveSometimes();
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
      if (seeking) {
        seeking = false;
        slotsOut++;
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

    private void runOutOfPatience() {
      if (seeking) {
        seeking = false;
        apply(machine.onNoSlot("owner_busy"));
      }
    }

    private void leaveSometimes() {
      if (random.nextInt(10) == 0) {
        apply(machine.onCallerGone());
      }
    }

    private void endAttempt() {
      attempt = false;
      handedOver = false;
      slotsOut--;
    }

    private void apply(List<ExchangeEffect> effects) {
      for (ExchangeEffect effect : effects) {
        finals += effect.isFinal() ? 1 : 0;
        if (effect instanceof ExchangeEffect.AcquireSlot) {
          seeking = true;
        } else if (effect instanceof ExchangeEffect.CancelSlotRequest) {
          seeking = false;
        } else if (effect instanceof ExchangeEffect.Send) {
          attempt = true;
        } else if (effect instanceof ExchangeEffect.ReturnSlot) {
          slotsOut--;
        } else if (effect instanceof ExchangeEffect.Abandon && attempt) {
          endAttempt();
        } else if (effect instanceof ExchangeEffect.Refuse) {
          saidNotRun = true;
        }
      }
    }
  }
}
