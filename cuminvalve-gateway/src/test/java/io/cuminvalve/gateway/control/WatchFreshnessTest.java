package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import org.junit.jupiter.api.Test;

class WatchFreshnessTest {

  private static final UpperTime SENT = new UpperTime(15_000);
  private static final WatchFreshness FRESHNESS = new WatchFreshness(SENT, 10_000, 500);

  @Test
  void unchangedResponseIsValidAsOfTheEndOfTheWait() {
    assertThat(FRESHNESS.validAsOf(true, 10_500)).isEqualTo(SENT.plusMs(500));
    assertThat(FRESHNESS.validAsOf(true, 12_000)).isEqualTo(SENT.plusMs(500));
  }

  /** The store may have checked the key at any time since the call was sent. */
  @Test
  void earlyOrChangedResponseIsValidAsOfTheCall() {
    assertThat(FRESHNESS.validAsOf(true, 10_499)).isEqualTo(SENT);
    assertThat(FRESHNESS.validAsOf(false, 12_000)).isEqualTo(SENT);
  }
}
