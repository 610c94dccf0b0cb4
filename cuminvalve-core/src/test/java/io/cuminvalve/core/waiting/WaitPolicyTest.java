package io.cuminvalve.core.waiting;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WaitPolicyTest {

  private static final RequestTimes TIMES = new RequestTimes(1_400, 3_400);

  @Test
  void requestsWaitForOneThirdOfTheTimeLeft() {
    assertThat(WaitPolicy.patienceMs(TIMES, 120, 1_000)).isEqualTo(800);
  }

  @Test
  void nobodyWaitsIntoTheTimeThatItsWorkTakes() {
    assertThat(WaitPolicy.patienceMs(TIMES, 120, 3_200)).isEqualTo(50);
    assertThat(WaitPolicy.patienceMs(TIMES, 500, 3_200)).isEqualTo(0);
    assertThat(WaitPolicy.patienceMs(TIMES, 0, 4_000)).isEqualTo(0);
  }

  @Test
  void laterPlacesThanThePatienceAreHopeless() {
    assertThat(WaitPolicy.isHopeless(new WaitEstimate(800, 120), 1_800, 1_000)).isFalse();
    assertThat(WaitPolicy.isHopeless(new WaitEstimate(801, 120), 1_800, 1_000)).isTrue();
  }

  /** A late response is worth more than a refusal. */
  @Test
  void requestsPastTheirAimWaitLikeOthers() {
    long nowMs = TIMES.aimMs() + 100;
    long untilMs = nowMs + WaitPolicy.patienceMs(TIMES, 120, nowMs);
    assertThat(WaitPolicy.isHopeless(WaitEstimate.of(2, 120, 120), untilMs, nowMs)).isFalse();
  }

  @Test
  void unknownPaceIsNoReasonToRefuse() {
    WaitEstimate unknown = WaitEstimate.of(50, 0, 0);
    assertThat(WaitPolicy.isHopeless(unknown, 1_000, 1_000)).isFalse();
  }

  @Test
  void estimateCountsThoseAheadAndTheOneUnderWay() {
    assertThat(WaitEstimate.of(0, 50, 120)).isEqualTo(new WaitEstimate(25, 120));
    assertThat(WaitEstimate.of(3, 50, 120)).isEqualTo(new WaitEstimate(175, 120));
  }

  @Test
  void returnsAreSpreadWithinOneThirdOfTheTimeLeft() {
    for (int seed = 0; seed < 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      long nowMs = random.nextLong(500, 4_000);
      WaitEstimate estimate = new WaitEstimate(random.nextLong(0, 3_000), 120);
      long retryMs = WaitPolicy.retryAfterMs(estimate, TIMES, nowMs, random.nextDouble());
      assertThat(retryMs).isAtMost(TIMES.leftMs(nowMs) / 3);
      assertThat(retryMs).isAtLeast(Math.min(estimate.waitMs(), TIMES.leftMs(nowMs) * 2 / 9));
    }
    WaitEstimate hundred = new WaitEstimate(100, 120);
    assertThat(WaitPolicy.retryAfterMs(hundred, TIMES, 1_000, 0)).isEqualTo(100);
    assertThat(WaitPolicy.retryAfterMs(hundred, TIMES, 1_000, 1)).isEqualTo(150);
  }

  @Test
  void paceFollowsTheLatestCompletions() {
    CompletionPace pace = new CompletionPace();
    assertThat(pace.msPerCompletion(2)).isEqualTo(0);
    pace.onCompletion(100);
    assertThat(pace.msPerCompletion(2)).isEqualTo(50);
    for (int i = 0; i < 4; i++) {
      pace.onCompletion(300);
    }
    assertThat(pace.msPerCompletion(1)).isGreaterThan(200);
    assertThat(pace.msPerCompletion(0)).isEqualTo(pace.msPerCompletion(1));
  }
}
