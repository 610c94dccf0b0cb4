package io.cuminvalve.core.send;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SendGateTest {

  private static final long MAX_AGE_MS = 1_000;

  private long nowMs = 10_000;
  private final SendGate gate = new SendGate(() -> nowMs);
  private final Map<SendCondition, ConditionStatus> known = new EnumMap<>(SendCondition.class);
  private final List<SendCondition> lookedUp = new ArrayList<>();

  private Optional<SendObstacle> check(SendKind kind) {
    return gate.check(kind, this::statusOf);
  }

  private ConditionStatus statusOf(SendCondition condition, UpperTime now) {
    lookedUp.add(condition);
    return known.getOrDefault(condition, ConditionStatus.local(true, now));
  }

  @Test
  void sendIsAllowedIfAllConditionsHold() {
    assertThat(check(SendKind.REQUEST)).isEmpty();
    assertThat(check(SendKind.GRANT)).isEmpty();
    assertThat(check(SendKind.RELEASE)).isEmpty();
  }

  /** Each condition alone blocks every kind of message that it applies to, and no other. */
  @Test
  void everyUnmetConditionBlocksTheKindsItAppliesTo() {
    for (SendCondition condition : SendCondition.values()) {
      known.clear();
      known.put(condition, ConditionStatus.local(false, new UpperTime(nowMs)));
      for (SendKind kind : SendKind.values()) {
        Optional<SendObstacle> expected =
            condition.concerns(kind)
                ? Optional.of(new SendObstacle(condition, false))
                : Optional.empty();
        assertThat(check(kind)).isEqualTo(expected);
      }
    }
  }

  /** A delay of 2 s before the check makes the known status outdated. */
  @Test
  void everyOutdatedConditionBlocksTheKindsItAppliesTo() {
    for (SendCondition condition : SendCondition.values()) {
      known.clear();
      known.put(condition, ConditionStatus.heard(true, new UpperTime(nowMs), MAX_AGE_MS));
      SendKind kind = condition.concerns(SendKind.REQUEST) ? SendKind.REQUEST : SendKind.GRANT;
      assertThat(check(kind)).isEmpty();
      nowMs += 2_000;
      assertThat(check(kind)).hasValue(new SendObstacle(condition, true));
    }
  }

  @Test
  void conditionThatWasNeverKnownBlocksTheSend() {
    known.put(
        SendCondition.TARGET_SERVES,
        ConditionStatus.heard(true, UpperTime.NEVER, Long.MAX_VALUE / 4));
    assertThat(check(SendKind.REQUEST))
        .hasValue(new SendObstacle(SendCondition.TARGET_SERVES, true));
  }

  @Test
  void checkStopsAtTheFirstObstacle() {
    known.put(SendCondition.ATTEMPT_OPEN, ConditionStatus.local(false, new UpperTime(nowMs)));
    assertThat(check(SendKind.REQUEST)).isPresent();
    assertThat(lookedUp).containsExactly(SendCondition.ATTEMPT_OPEN);
  }

  /** Checking the caller's connection requires a system call, so it comes last. */
  @Test
  void callerConnectionIsCheckedLast() {
    assertThat(check(SendKind.REQUEST)).isEmpty();
    assertThat(lookedUp.get(lookedUp.size() - 1)).isEqualTo(SendCondition.CALLER_PRESENT);
  }

  @Test
  void labelDistinguishesOutdatedFromUnmet() {
    assertThat(new SendObstacle(SendCondition.TARGET_SERVES, false).label())
        .isEqualTo("unmet_target_serves");
    assertThat(new SendObstacle(SendCondition.TARGET_SERVES, true).label())
        .isEqualTo("unknown_target_serves");
  }
}
