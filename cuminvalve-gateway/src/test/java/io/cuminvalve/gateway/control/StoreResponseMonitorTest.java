package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.testkit.time.VirtualClock;
import org.junit.jupiter.api.Test;

class StoreResponseMonitorTest {

  private static final long ANSWER_MS = 300;
  private static final long WAIT_MS = 400;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final StoreResponseMonitor silence = new StoreResponseMonitor(clock, ANSWER_MS);

  @Test
  void whoHasAskedNothingHearsNoSilence() {
    clock.advance(60_000);
    assertThat(silence.isSilent()).isFalse();
  }

  @Test
  void theAnswerIsDueAfterTheWait() {
    silence.onCall(1, WAIT_MS);
    clock.advance(WAIT_MS + ANSWER_MS);
    assertThat(silence.isSilent()).isFalse();
    clock.advance(1);
    assertThat(silence.isSilent()).isTrue();
    silence.onAnswer(1, WAIT_MS);
    clock.advance(60_000);
    assertThat(silence.isSilent()).isFalse();
  }

  /** Calls that are begun anew do not put off the moment at which the first answer was due. */
  @Test
  void callsThatAreBegunAnewAreNoAnswer() {
    silence.onCall(1, WAIT_MS);
    clock.advance(WAIT_MS + ANSWER_MS);
    silence.onCall(2, WAIT_MS);
    clock.advance(1);
    assertThat(silence.isSilent()).isTrue();
  }

  /** An answer to an earlier call says that the store answers; the later one is due next. */
  @Test
  void theLateAnswerEndsTheSilenceUntilTheNextIsDue() {
    silence.onCall(1, WAIT_MS);
    silence.onCall(2, WAIT_MS);
    clock.advance(2_000);
    silence.onAnswer(1, WAIT_MS);
    assertThat(silence.isSilent()).isFalse();
    clock.advance(WAIT_MS + ANSWER_MS + 1);
    assertThat(silence.isSilent()).isTrue();
  }

  @Test
  void theRefusalOfTheNewestCallIsSilenceUntilAnAnswer() {
    silence.onCall(1, 0);
    silence.onCall(2, 0);
    silence.onRefusal(1);
    assertThat(silence.isSilent()).isFalse();
    silence.onRefusal(2);
    assertThat(silence.isSilent()).isTrue();
    silence.onCall(3, 0);
    silence.onAnswer(3, 0);
    assertThat(silence.isSilent()).isFalse();
  }
}
