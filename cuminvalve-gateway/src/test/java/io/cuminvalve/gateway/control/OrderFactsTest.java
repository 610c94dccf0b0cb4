package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.core.send.SendKind;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.kernel.BootClock;
import io.cuminvalve.kernel.SuspensionClock;
import io.cuminvalve.kernel.UpperTime;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks lease orders that are decided in time but sent late. */
class OrderFactsTest {

  private static final TargetId TARGET = new TargetId("a");
  private static final long GRACE_MS = 9_500;
  private static final long STEP_MS = 2_000;
  private static final List<SendKind> ORDERS = List.of(SendKind.GRANT, SendKind.RELEASE);

  private long nowMs = 50_000;
  private long suspendedMs;
  private boolean holdsTerm = true;
  private UpperTime confirmed = new UpperTime(nowMs);
  private UpperTime decided = new UpperTime(nowMs);
  private final Set<TargetId> ended = new HashSet<>();
  private final SendGate gate = new SendGate(() -> nowMs);

  private Optional<SendObstacle> check() {
    return check(SendKind.GRANT);
  }

  private Optional<SendObstacle> check(SendKind kind) {
    return check(gate, kind);
  }

  private Optional<SendObstacle> check(SendGate checked, SendKind kind) {
    return checked.check(kind, new OrderFacts(new TestState(), () -> holdsTerm, TARGET, decided));
  }

  @Test
  void ordersThatBeginAtOnceAreSent() {
    assertThat(check()).isEmpty();
  }

  /** Connecting takes 2 s, after which the decision may no longer be valid. */
  @Test
  void ordersThatBeginLateAreNotSent() {
    nowMs += STEP_MS;
    assertThat(check()).hasValue(new SendObstacle(SendCondition.DECISION_RECENT, true));
  }

  @Test
  void nothingIsSentOnceTheTermIsOver() {
    holdsTerm = false;
    assertThat(check()).hasValue(new SendObstacle(SendCondition.TERM_HELD, false));
  }

  @Test
  void nothingIsSentIfTheTermWasNotConfirmedForTooLong() {
    nowMs += GRACE_MS + 1;
    decided = new UpperTime(nowMs);
    assertThat(check()).hasValue(new SendObstacle(SendCondition.TERM_HELD, true));
    confirmed = new UpperTime(nowMs);
    assertThat(check()).isEmpty();
  }

  @Test
  void nothingIsSentToRunsThatHaveEndedMeanwhile() {
    ended.add(TARGET);
    assertThat(check()).hasValue(new SendObstacle(SendCondition.TARGET_RUNS, false));
  }

  /**
   * Guards against keys that stay closed: only the answer to a release proves that the target
   * instance holds none.
   */
  @Test
  void releasesAreSentToRunsThatAreSaidToHaveEnded() {
    ended.add(TARGET);
    assertThat(check(SendKind.RELEASE)).isEmpty();
    nowMs += STEP_MS;
    assertThat(check(SendKind.RELEASE))
        .hasValue(new SendObstacle(SendCondition.DECISION_RECENT, true));
    holdsTerm = false;
    assertThat(check(SendKind.RELEASE)).hasValue(new SendObstacle(SendCondition.TERM_HELD, false));
  }

  /**
   * Guards against two owners: the host is suspended between the decision and the first byte, and
   * its wall clock is set back by the same amount meanwhile.
   */
  @Test
  void ordersAreNotSentAfterSuspensionThatBackwardStepHides() {
    SuspensionClock clock =
        new SuspensionClock(
            () -> nowMs,
            () -> nowMs,
            new BootClock(() -> nowMs + suspendedMs, failure -> {}),
            forMs -> {});
    final SendGate suspendableGate = new SendGate(clock);
    confirmed = clock.upper();
    decided = clock.upper();
    for (SendKind kind : ORDERS) {
      assertThat(check(suspendableGate, kind)).isEmpty();
    }
    suspendedMs = STEP_MS;
    for (SendKind kind : ORDERS) {
      assertThat(check(suspendableGate, kind))
          .hasValue(new SendObstacle(SendCondition.DECISION_RECENT, true));
    }
    suspendedMs = GRACE_MS + 1;
    decided = clock.upper();
    for (SendKind kind : ORDERS) {
      assertThat(check(suspendableGate, kind))
          .hasValue(new SendObstacle(SendCondition.TERM_HELD, true));
    }
  }

  private final class TestState implements HolderState {

    @Override
    public UpperTime termConfirmed() {
      return confirmed;
    }

    @Override
    public long termMaxAgeMs() {
      return GRACE_MS;
    }

    @Override
    public boolean hasEnded(TargetId target) {
      return ended.contains(target);
    }
  }
}
