package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import org.junit.jupiter.api.Test;

class WatchFreshnessTest {

  private static final UpperTime SENT = new UpperTime(15_000);
  private static final WatchFreshness PROOF = new WatchFreshness(SENT, 10_000, 500);

  @Test
  void withoutChangeTheWholeWaitIsProved() {
    assertThat(PROOF.onAnswer(true, 10_500)).isEqualTo(SENT.plusMs(500));
    assertThat(PROOF.onAnswer(true, 12_000)).isEqualTo(SENT.plusMs(500));
  }

  /** The store may have looked at any moment since the call was sent. */
  @Test
  void answersBeforeTheEndOfTheWaitProveNoMoreThanTheCall() {
    assertThat(PROOF.onAnswer(true, 10_499)).isEqualTo(SENT);
    assertThat(PROOF.onAnswer(false, 12_000)).isEqualTo(SENT);
  }
}
