package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks the state machines of a gateway without a path and of its peers together, under arbitrary
 * orders of events, with connections that break between and behind them.
 */
class ForwardingInterleavingsTest {

  private static final int EVENTS = 60;
  private static final int MAX_ATTEMPTS = 3;

  @Property(tries = 5_000, seed = "17")
  void exactlyOneCorrectFinalAnswer(
      @ForAll long seed, @ForAll boolean idempotent, @ForAll boolean keyed) {
    Random random = new Random(seed);
    ForwardedRequest request = new ForwardedRequest(idempotent, keyed, random);
    for (int i = 0; i < EVENTS; i++) {
      request.step(random.nextInt(9));
    }
    request.finish();
    assertThat(request.finalAnswers).isEqualTo(1);
    assertThat(request.peers.size()).isAtMost(3);
    assertThat(request.runs).isAtMost(idempotent ? MAX_ATTEMPTS : 1);
    if (request.refused) {
      assertThat(request.runs).isEqualTo(0);
    }
  }

  /** One request of a caller, with the peers that it is forwarded to in turn. */
  private static final class ForwardedRequest {

    private final Random random;
    private final ExchangeProfile profile;
    private final ExchangeStateMachine machine;
    private final List<Peer> peers = new ArrayList<>();
    private long nowMs;
    private int runs;
    private int finalAnswers;
    private boolean refused;

    ForwardedRequest(boolean idempotent, boolean keyed, Random random) {
      this.random = random;
      this.profile = new ExchangeProfile(idempotent, keyed, MAX_ATTEMPTS, 400, 0, 2_000);
      this.machine = new ExchangeStateMachine(profile, random::nextBoolean);
      apply(machine.onStart(false, 0));
      apply(machine.onUnreachable(true, 500, 0));
    }

    void step(int kind) {
      nowMs += random.nextInt(40);
      Peer peer = peers.get(random.nextInt(peers.size()));
      switch (kind) {
        case 0 -> peer.handOver();
        case 1 -> peer.giveSlot();
        case 2 -> peer.sendToTarget();
        case 3 -> peer.answer(random.nextInt(3) == 0 ? 500 : 200);
        case 4 -> peer.refuse();
        case 5 -> peer.fail();
        case 6 -> peer.expireSlotWait();
        case 7 -> peer.breakConnectionSometimes();
        default -> disconnectSometimes();
      }
    }

    void finish() {
      apply(machine.onDeadline(peers.get(peers.size() - 1).handedOver));
      for (int i = 0; i < EVENTS; i++) {
        step(random.nextInt(7));
      }
    }

    private void disconnectSometimes() {
      if (random.nextInt(20) == 0) {
        apply(machine.onCallerGone());
      }
    }

    private void apply(List<ExchangeEffect> effects) {
      for (ExchangeEffect effect : effects) {
        finalAnswers += effect.isFinal() ? 1 : 0;
        refused |= effect instanceof ExchangeEffect.Refuse;
        if (effect instanceof ExchangeEffect.ForwardToPeer) {
          peers.add(new Peer(this));
        } else if (effect instanceof ExchangeEffect.Abandon) {
          peers.get(peers.size() - 1).connected = false;
        }
      }
    }
  }

  /** A peer and its target. Nothing begins there once the connection to it has ended. */
  private static final class Peer {

    private final ForwardedRequest request;
    private final ExchangeStateMachine machine;
    private boolean connected = true;
    private boolean handedOver;
    private boolean waiting;
    private boolean attempt;
    private boolean sent;

    Peer(ForwardedRequest request) {
      this.request = request;
      ExchangeProfile given = request.profile;
      ExchangeProfile profile =
          new ExchangeProfile(
              given.idempotent(),
              given.keyed(),
              request.machine.forwardedLimit(),
              given.latencyObjectiveMs(),
              0,
              given.deadlineMs());
      this.machine =
          new ExchangeStateMachine(profile, request.random::nextBoolean, request.machine.runs());
    }

    void handOver() {
      if (connected && !handedOver) {
        handedOver = true;
        apply(machine.onStart(false, request.nowMs));
      }
    }

    void giveSlot() {
      if (waiting) {
        waiting = false;
        apply(machine.onSlot());
      }
    }

    void sendToTarget() {
      if (attempt && !sent && connected) {
        sent = true;
        request.runs++;
      }
    }

    void answer(int status) {
      if (attempt && sent) {
        endAttempt();
        apply(machine.onAnswer(status, request.nowMs), status);
      }
    }

    void refuse() {
      if (attempt && !sent) {
        endAttempt();
        apply(machine.onNotExecuted(request.nowMs));
      }
    }

    void fail() {
      if (attempt) {
        boolean mayHaveRun = sent;
        endAttempt();
        apply(machine.onFailure(mayHaveRun, "reset", request.nowMs));
      }
    }

    void expireSlotWait() {
      if (waiting) {
        waiting = false;
        apply(machine.onNoSlot("owner_busy"));
      }
    }

    void breakConnectionSometimes() {
      if (connected && request.random.nextInt(4) == 0) {
        connected = false;
        List<ExchangeEffect> effects =
            handedOver
                ? request.machine.onPeerFailure(0, "reset", true, request.nowMs)
                : request.machine.onPeerRefusal(0, 250, true, request.nowMs);
        request.apply(effects);
        apply(machine.onCallerGone());
      }
    }

    private void endAttempt() {
      attempt = false;
      sent = false;
    }

    private void apply(List<ExchangeEffect> effects) {
      apply(effects, 0);
    }

    private void apply(List<ExchangeEffect> effects, int status) {
      for (ExchangeEffect effect : effects) {
        if (effect instanceof ExchangeEffect.AcquireSlot) {
          waiting = true;
        } else if (effect instanceof ExchangeEffect.CancelSlotRequest) {
          waiting = false;
        } else if (effect instanceof ExchangeEffect.Send) {
          attempt = true;
        } else if (effect instanceof ExchangeEffect.Abandon) {
          endAttempt();
        } else if (effect.isFinal() && connected) {
          connected = false;
          report(effect, status);
        }
      }
    }

    private void report(ExchangeEffect last, int status) {
      ExchangeStateMachine asking = request.machine;
      if (last instanceof ExchangeEffect.Relay) {
        request.apply(asking.onPeerAnswer(status, machine.runs(), true, request.nowMs));
      } else if (last instanceof ExchangeEffect.Refuse refuse) {
        request.apply(
            asking.onPeerRefusal(machine.refusals(), refuse.retryAfterMs(), true, request.nowMs));
      } else if (last instanceof ExchangeEffect.GiveUp giveUp) {
        request.apply(asking.onPeerFailure(machine.runs(), giveUp.reason(), true, request.nowMs));
      }
    }
  }
}
