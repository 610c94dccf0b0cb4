package io.cuminvalve.core.stop;

import static com.google.common.truth.Truth.assertThat;
import static io.cuminvalve.core.stop.StopPolicy.Treatment.BEGIN;
import static io.cuminvalve.core.stop.StopPolicy.Treatment.HAND_OVER;
import static io.cuminvalve.core.stop.StopPolicy.Treatment.REFUSE;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class StopPolicyTest {

  private static final long NOTICE_MS = 2_300;
  private static final long LIMIT_MS = 5_600;
  private static final long END_MS = LIMIT_MS - StopPolicy.ANSWER_RESERVE_MS;
  private static final long NEVER_MS = Long.MAX_VALUE / 4;

  private final StopPolicy policy = new StopPolicy(NOTICE_MS, LIMIT_MS);

  @Test
  void everyRequestIsTakenBeforeTheNotice() {
    assertThat(policy.admits(0, NEVER_MS)).isTrue();
    assertThat(policy.admits(NOTICE_MS - 1, NEVER_MS)).isTrue();
    assertThat(policy.isNoticeOver(NOTICE_MS - 1)).isFalse();
  }

  @Test
  void onlyRequestsThatEndBeforeTheStopAreTakenAfterwards() {
    assertThat(policy.admits(NOTICE_MS, END_MS)).isTrue();
    assertThat(policy.admits(NOTICE_MS, END_MS + 1)).isFalse();
    assertThat(policy.admits(END_MS - 1, END_MS)).isTrue();
    assertThat(policy.isNoticeOver(NOTICE_MS)).isTrue();
  }

  @Test
  void requestsEndWhileThereIsTimeToAnswerThem() {
    assertThat(policy.requestsEndMs()).isLessThan(LIMIT_MS);
    assertThat(policy.requestsEndMs()).isAtLeast(NOTICE_MS);
  }

  @Test
  void stopsWithoutTimeAfterTheNoticeEndRequestsAtTheNotice() {
    assertThat(new StopPolicy(100, 150).requestsEndMs()).isEqualTo(100);
  }

  @Test
  void lateRequestsAreHandedOverIfThereIsTimeAndPeer() {
    long objectiveMs = 400;
    long lastMs = policy.workEndMs() - objectiveMs;
    assertThat(policy.treat(NOTICE_MS - 1, NEVER_MS, objectiveMs, true)).isEqualTo(BEGIN);
    assertThat(policy.treat(NOTICE_MS, END_MS, objectiveMs, true)).isEqualTo(BEGIN);
    assertThat(policy.treat(NOTICE_MS, NEVER_MS, objectiveMs, true)).isEqualTo(HAND_OVER);
    assertThat(policy.treat(lastMs, NEVER_MS, objectiveMs, true)).isEqualTo(HAND_OVER);
    assertThat(policy.treat(lastMs + 1, NEVER_MS, objectiveMs, true)).isEqualTo(REFUSE);
    assertThat(policy.treat(NOTICE_MS, NEVER_MS, objectiveMs, false)).isEqualTo(REFUSE);
  }

  @Test
  void targetsEndTheirWorkBeforeRequestsAreEnded() {
    assertThat(policy.workEndMs()).isLessThan(policy.requestsEndMs());
    assertThat(new StopPolicy(0, 100).workEndMs()).isEqualTo(0);
  }

  @Test
  void theLimitCannotComeBeforeTheNotice() {
    assertThrows(IllegalArgumentException.class, () -> new StopPolicy(100, 99));
    assertThrows(IllegalArgumentException.class, () -> new StopPolicy(-1, 99));
  }
}
