package io.cuminvalve.core.request;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.request.RequestEffect.CancelAtTarget;
import io.cuminvalve.core.request.RequestEffect.Finish;
import io.cuminvalve.core.request.RequestEffect.ReleaseSlot;
import io.cuminvalve.core.request.RequestEffect.SettleIntent;
import io.cuminvalve.core.request.RequestEffect.WithdrawAdmission;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.Outcome.End;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.RetryAdvice;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the outcome of each failure at each point of a request, as specified in docs/FAULTS.md.
 */
class VerdictMatrixTest {

  private static final long DEADLINE_MS = 1_000;

  /** The point of the request at which the failure occurs. */
  private enum Point {
    CLAIMING,
    WAITING,
    CONNECTING,
    SENT,
    ANSWERING,
    BACKING_OFF_AFTER_REFUSAL,
    BACKING_OFF_AFTER_CUT
  }

  /** The injected failure. */
  private enum Failure {
    DEADLINE,
    CALLER_GONE,
    STOPPING,
    CONNECT_FAILED,
    REFUSED,
    CUT,
    NO_SLOT,
    EARLIER_RAN;

    List<RequestEffect> inject(RequestStateMachine machine, long nowMs) {
      int attempt = machine.attempt();
      return switch (this) {
        case DEADLINE -> machine.onDeadline();
        case CALLER_GONE -> machine.onCallerGone();
        case STOPPING -> machine.onRouterStopping(250);
        case CONNECT_FAILED -> machine.onConnectFailed(attempt, nowMs);
        case REFUSED -> machine.onTargetRefused(attempt, TargetRefusal.OVERLOADED, nowMs);
        case CUT -> machine.onAnswerCut(attempt, nowMs);
        case NO_SLOT -> machine.onAdmissionRefused(attempt, RefusalReason.QUEUE_FULL, 70);
        case EARLIER_RAN -> machine.onIntentRefused(Verdict.RAN, RefusalReason.ALREADY_RAN, 0);
      };
    }
  }

  /** Columns: point, failure, end, verdict when idempotent, verdict when claimed, settled as. */
  @ParameterizedTest
  @CsvSource({
    "CLAIMING,    DEADLINE,    REFUSED,     ,             MAY_HAVE_RUN, NOT_RUN",
    "CLAIMING,    CALLER_GONE, CALLER_GONE, ,             MAY_HAVE_RUN, NOT_RUN",
    "CLAIMING,    STOPPING,    REFUSED,     ,             MAY_HAVE_RUN, NOT_RUN",
    "CLAIMING,    EARLIER_RAN, REFUSED,     ,             RAN,          ",
    "WAITING,     DEADLINE,    REFUSED,     NOT_RUN,      NOT_RUN,      NOT_RUN",
    "WAITING,     CALLER_GONE, CALLER_GONE, NOT_RUN,      NOT_RUN,      NOT_RUN",
    "WAITING,     STOPPING,    REFUSED,     NOT_RUN,      NOT_RUN,      NOT_RUN",
    "WAITING,     NO_SLOT,     REFUSED,     NOT_RUN,      NOT_RUN,      NOT_RUN",
    "CONNECTING,  DEADLINE,    REFUSED,     NOT_RUN,      NOT_RUN,      NOT_RUN",
    "CONNECTING,  CALLER_GONE, CALLER_GONE, NOT_RUN,      NOT_RUN,      NOT_RUN",
    "CONNECTING,  CONNECT_FAILED, REFUSED,  NOT_RUN,      NOT_RUN,      NOT_RUN",
    "SENT,        DEADLINE,    REFUSED,     MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "SENT,        CALLER_GONE, CALLER_GONE, MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "SENT,        CUT,         REFUSED,     MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "SENT,        REFUSED,     REFUSED,     NOT_RUN,      NOT_RUN,      NOT_RUN",
    "ANSWERING,   DEADLINE,    ABORTED,     MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "ANSWERING,   CALLER_GONE, CALLER_GONE, MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "ANSWERING,   CUT,         ABORTED,     MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
    "BACKING_OFF_AFTER_REFUSAL, DEADLINE, REFUSED, NOT_RUN, NOT_RUN,   NOT_RUN",
    "BACKING_OFF_AFTER_REFUSAL, STOPPING, REFUSED, NOT_RUN, NOT_RUN,   NOT_RUN",
    "BACKING_OFF_AFTER_CUT, DEADLINE,    REFUSED,     MAY_HAVE_RUN, ,  ",
    "BACKING_OFF_AFTER_CUT, CALLER_GONE, CALLER_GONE, MAY_HAVE_RUN, ,  ",
    "BACKING_OFF_AFTER_CUT, STOPPING,    REFUSED,     MAY_HAVE_RUN, ,  ",
  })
  void outcomeMatchesSpecification(
      Point point, Failure failure, End end, Verdict read, Verdict payout, Verdict settled) {
    if (read != null) {
      check(point, failure, new RequestProfile(true, false, true, DEADLINE_MS), end, read, null);
    }
    if (payout != null) {
      RequestProfile claimed = new RequestProfile(false, true, true, DEADLINE_MS);
      check(point, failure, claimed, end, payout, settled);
    }
    if (payout != null && point != Point.CLAIMING) {
      RequestProfile unclaimed = new RequestProfile(false, false, true, DEADLINE_MS);
      check(point, failure, unclaimed, end, payout, null);
    }
  }

  @ParameterizedTest
  @CsvSource({"CONNECTING, STOPPING", "SENT, STOPPING", "ANSWERING, STOPPING"})
  void requestInFlightContinuesWhenRouterStops(Point point, Failure failure) {
    RequestStateMachine machine = at(point, new RequestProfile(true, false, true, DEADLINE_MS));
    assertWithMessage("effects").that(failure.inject(machine, 10)).isEmpty();
    assertWithMessage("state").that(machine.state()).isNotEqualTo(RequestState.ENDED);
  }

  @ParameterizedTest
  @CsvSource({"CONNECTING, CONNECT_FAILED", "SENT, REFUSED", "SENT, CUT"})
  void consumedBodyIsNotResent(Point point, Failure failure) {
    RequestStateMachine machine = at(point, new RequestProfile(true, false, true, DEADLINE_MS));
    machine.onBodyConsumed();
    List<RequestEffect> effects = failure.inject(machine, 10);
    assertWithMessage("effects").that(effects).isNotEmpty();
    assertWithMessage("state").that(machine.state()).isEqualTo(RequestState.ENDED);
  }

  private static void check(
      Point point,
      Failure failure,
      RequestProfile profile,
      End end,
      Verdict verdict,
      Verdict settled) {
    RequestStateMachine machine = at(point, profile);
    List<RequestEffect> effects = failure.inject(machine, 999);
    List<Outcome> outcomes = new ArrayList<>();
    Verdict settledAs = null;
    boolean slotSettled = false;
    for (RequestEffect effect : effects) {
      if (effect instanceof Finish finish) {
        outcomes.add(finish.outcome());
      } else if (effect instanceof SettleIntent settle) {
        settledAs = settle.verdict();
      } else if (effect instanceof ReleaseSlot
          || effect instanceof CancelAtTarget
          || effect instanceof WithdrawAdmission) {
        slotSettled = true;
      }
    }
    assertWithMessage("%s at %s: outcomes", failure, point).that(outcomes).hasSize(1);
    Outcome outcome = outcomes.get(0);
    assertWithMessage("%s at %s: end", failure, point).that(outcome.end()).isEqualTo(end);
    assertWithMessage("%s at %s: verdict", failure, point)
        .that(outcome.verdict())
        .isEqualTo(verdict);
    assertWithMessage("%s at %s: settled", failure, point).that(settledAs).isEqualTo(settled);
    boolean holds = point == Point.WAITING || point == Point.CONNECTING || point == Point.SENT;
    if (holds && failure != Failure.NO_SLOT) {
      assertWithMessage("%s at %s: slot", failure, point).that(slotSettled).isTrue();
    }
    RetryAdvice advice = outcome.reason().advice(outcome.verdict());
    if (advice == RetryAdvice.RETRY) {
      assertWithMessage("%s at %s: retry", failure, point)
          .that(outcome.retryAfterMs())
          .isGreaterThan(0L);
    }
  }

  /** Advances a request to a point. A retry takes 10 ms, so none fits right before the deadline. */
  private static RequestStateMachine at(Point point, RequestProfile profile) {
    RequestStateMachine machine = new RequestStateMachine(profile, (failed, remaining, now) -> 10);
    machine.start(0);
    if (point == Point.CLAIMING) {
      return machine;
    }
    machine.onIntentGranted();
    if (point == Point.WAITING) {
      return machine;
    }
    machine.onAdmitted(1, 0);
    if (point == Point.CONNECTING) {
      return machine;
    }
    machine.onFirstByte(1);
    switch (point) {
      case ANSWERING -> machine.onAnswerHead(1);
      case BACKING_OFF_AFTER_REFUSAL -> machine.onTargetRefused(1, TargetRefusal.DRAINING, 0);
      case BACKING_OFF_AFTER_CUT -> machine.onAnswerCut(1, 0);
      default -> {
        // The request was sent but not answered.
      }
    }
    return machine;
  }
}
