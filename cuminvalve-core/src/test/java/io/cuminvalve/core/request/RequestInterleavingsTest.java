package io.cuminvalve.core.request;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Outcome.End;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends random events, including late and duplicate ones, to the state machine of a request. Checks
 * that there is exactly one outcome, that the verdict is correct, that a request that is not
 * idempotent never runs twice, and that each slot is returned exactly once.
 */
class RequestInterleavingsTest {

  private static final int REQUESTS = 4_000;
  private static final int EVENTS = 40;
  private static final int EVENT_KINDS = 16;

  private Random random;
  private RequestStateMachine machine;
  private RequestProfile profile;
  private Outcome outcome;
  private Verdict settled;
  private boolean headRelayed;
  private int possibleRuns;
  private long nowMs;

  /** Slots by attempt; true until released. */
  private Map<Integer, Boolean> slots;

  /** Attempts of which bytes were sent to a target. */
  private List<Integer> sent;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void invariantsHoldForRandomEventOrder(long seed) {
    random = new Random(seed);
    int answered = 0;
    int refused = 0;
    for (int i = 0; i < REQUESTS; i++) {
      runOneRequest();
      answered += outcome.end() == End.ANSWERED ? 1 : 0;
      refused += outcome.verdict() == Verdict.NOT_RUN ? 1 : 0;
    }
    assertWithMessage("answered").that(answered).isGreaterThan(REQUESTS / 50);
    assertWithMessage("not run").that(refused).isGreaterThan(REQUESTS / 50);
  }

  private void runOneRequest() {
    boolean idempotent = random.nextBoolean();
    profile =
        new RequestProfile(
            idempotent, !idempotent && random.nextBoolean(), random.nextInt(4) > 0, 500);
    machine =
        new RequestStateMachine(
            profile,
            (failed, remaining, now) ->
                random.nextInt(4) == 0 ? RetryPolicy.NO_RETRY : random.nextInt(20));
    outcome = null;
    settled = null;
    headRelayed = false;
    possibleRuns = 0;
    nowMs = 0;
    slots = new HashMap<>();
    sent = new ArrayList<>();
    apply(machine.start(0));
    for (int i = 0; i < EVENTS; i++) {
      nowMs += random.nextInt(5);
      fireEvent(random.nextInt(EVENT_KINDS), randomAttempt());
    }
    apply(machine.onDeadline());
    for (int attempt : List.copyOf(slots.keySet())) {
      apply(machine.onAttemptClosed(attempt));
    }
    checkFinalState();
  }

  private int randomAttempt() {
    boolean previous = machine.attempt() > 1 && random.nextInt(5) == 0;
    return previous ? 1 + random.nextInt(machine.attempt()) : machine.attempt();
  }

  private void fireEvent(int kind, int attempt) {
    switch (kind) {
      case 0, 1 -> apply(machine.onIntentGranted());
      case 2, 3, 4 -> admit(attempt);
      case 5, 6 -> firstByte(attempt);
      case 7 -> apply(machine.onConnectFailed(attempt, nowMs));
      case 8 -> refuse(attempt);
      case 9 -> apply(machine.onAnswerHead(attempt));
      case 10 -> apply(machine.onAnswerEnd(attempt));
      case 11 -> apply(machine.onAnswerCut(attempt, nowMs));
      case 12, 13 -> apply(machine.onRetryTimer());
      case 14 -> apply(machine.onAttemptClosed(attempt));
      default -> fireRareEvent(attempt);
    }
  }

  private void fireRareEvent(int attempt) {
    switch (random.nextInt(12)) {
      case 0 -> apply(machine.onDeadline());
      case 1 -> apply(machine.onCallerGone());
      case 2 -> apply(machine.onRouterStopping(100));
      case 3 -> machine.onBodyConsumed();
      case 4 -> apply(machine.onAdmissionRefused(attempt, RefusalReason.QUEUE_FULL, 10));
      case 5 -> {
        if (machine.state() == RequestState.CLAIMING) {
          apply(machine.onIntentRefused(Verdict.RAN, RefusalReason.ALREADY_RAN, 0));
        }
      }
      default -> {
        // Nothing happens.
      }
    }
  }

  private void admit(int attempt) {
    if (machine.state() == RequestState.WAITING && !slots.containsKey(attempt)) {
      slots.put(attempt, true);
      apply(machine.onAdmitted(attempt, nowMs));
    }
  }

  private void firstByte(int attempt) {
    if (machine.onFirstByte(attempt)) {
      sent.add(attempt);
      possibleRuns++;
      assertWithMessage("slot held while sending").that(slots.get(attempt)).isTrue();
      boolean once = profile.idempotent() || possibleRuns == 1;
      assertWithMessage("one possible run unless idempotent").that(once).isTrue();
    }
  }

  private void refuse(int attempt) {
    boolean inFlight = sent.contains(attempt) && machine.state() == RequestState.SENT;
    if (inFlight && attempt == machine.attempt()) {
      sent.remove(Integer.valueOf(attempt));
      possibleRuns--;
    }
    apply(machine.onTargetRefused(attempt, TargetRefusal.STALE_TOKEN, nowMs));
  }

  private void apply(List<RequestEffect> effects) {
    for (RequestEffect effect : effects) {
      if (effect instanceof RequestEffect.Finish finish) {
        assertWithMessage("second outcome").that(outcome).isNull();
        outcome = finish.outcome();
      } else if (effect instanceof RequestEffect.SettleIntent settle) {
        assertWithMessage("second settlement").that(settled).isNull();
        settled = settle.verdict();
      } else if (effect instanceof RequestEffect.ReleaseSlot release) {
        boolean held = Boolean.TRUE.equals(slots.put(release.attempt(), false));
        assertWithMessage("slot of %s is returned once", release.attempt()).that(held).isTrue();
      } else if (effect instanceof RequestEffect.RelayHead) {
        assertWithMessage("second head").that(headRelayed).isFalse();
        headRelayed = true;
      }
    }
  }

  private void checkFinalState() {
    assertWithMessage("outcome").that(outcome).isNotNull();
    assertWithMessage("slots held at the end").that(slots.values()).doesNotContain(true);
    if (outcome.verdict() == Verdict.NOT_RUN) {
      assertWithMessage("NOT_RUN with %s possible runs", possibleRuns)
          .that(possibleRuns)
          .isEqualTo(0);
    }
    if (headRelayed) {
      assertWithMessage("end after a head was relayed")
          .that(outcome.end())
          .isNotEqualTo(End.REFUSED);
    }
    if (settled == Verdict.NOT_RUN) {
      assertWithMessage("freed key").that(possibleRuns).isEqualTo(0);
    }
    if (outcome.end() == End.REFUSED && outcome.verdict() == Verdict.NOT_RUN) {
      assertWithMessage("time to come back").that(outcome.retryAfterMs()).isGreaterThan(0L);
    }
  }
}
