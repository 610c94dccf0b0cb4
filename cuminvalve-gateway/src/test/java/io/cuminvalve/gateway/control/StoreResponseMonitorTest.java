package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.testkit.time.VirtualClock;
import org.junit.jupiter.api.Test;

class StoreResponseMonitorTest {

  private static final long RESPONSE_TIMEOUT_MS = 300;
  private static final long WAIT_MS = 400;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final StoreResponseMonitor monitor = new StoreResponseMonitor(clock, RESPONSE_TIMEOUT_MS);

  @Test
  void storeWithoutCallsIsNotSilent() {
    clock.advance(60_000);
    assertThat(monitor.isSilent()).isFalse();
  }

  @Test
  void responseIsDueAfterTheWait() {
    monitor.onCall(1, WAIT_MS);
    clock.advance(WAIT_MS + RESPONSE_TIMEOUT_MS);
    assertThat(monitor.isSilent()).isFalse();
    clock.advance(1);
    assertThat(monitor.isSilent()).isTrue();
    monitor.onResponse(1, WAIT_MS);
    clock.advance(60_000);
    assertThat(monitor.isSilent()).isFalse();
  }

  /** A repeated call must not extend the time at which the first response was due. */
  @Test
  void repeatedCallsDoNotExtendTheDeadline() {
    monitor.onCall(1, WAIT_MS);
    clock.advance(WAIT_MS + RESPONSE_TIMEOUT_MS);
    monitor.onCall(2, WAIT_MS);
    clock.advance(1);
    assertThat(monitor.isSilent()).isTrue();
  }

  /** A response to an earlier call proves that the store responds; the later one is due next. */
  @Test
  void lateResponseEndsTheSilenceUntilTheNextIsDue() {
    monitor.onCall(1, WAIT_MS);
    monitor.onCall(2, WAIT_MS);
    clock.advance(2_000);
    monitor.onResponse(1, WAIT_MS);
    assertThat(monitor.isSilent()).isFalse();
    clock.advance(WAIT_MS + RESPONSE_TIMEOUT_MS + 1);
    assertThat(monitor.isSilent()).isTrue();
  }

  @Test
  void refusalOfTheNewestCallIsSilenceUntilTheNextResponse() {
    monitor.onCall(1, 0);
    monitor.onCall(2, 0);
    monitor.onRefusal(1);
    assertThat(monitor.isSilent()).isFalse();
    monitor.onRefusal(2);
    assertThat(monitor.isSilent()).isTrue();
    monitor.onCall(3, 0);
    monitor.onResponse(3, 0);
    assertThat(monitor.isSilent()).isFalse();
  }
}
