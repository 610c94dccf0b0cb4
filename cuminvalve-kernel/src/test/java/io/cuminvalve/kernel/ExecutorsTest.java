package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ExecutorsTest {

  private static final long TIMEOUT_S = 20;

  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();

  @Test
  void controlThreadRunsInOrderAndContinuesAfterFailures() throws Exception {
    List<Integer> order = new ArrayList<>();
    CountDownLatch done = new CountDownLatch(1);
    try (ControlThread control = new ControlThread("c", (name, failure) -> failures.add(failure))) {
      control.execute(() -> order.add(1));
      control.execute(
          () -> {
            throw new AssertionError("an error, not just an exception");
          });
      control.execute(() -> order.add(2));
      control.execute(done::countDown);
      assertThat(done.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(order).containsExactly(1, 2).inOrder();
    assertThat(failures).hasSize(1);
  }

  @Test
  void periodicTaskContinuesAfterFailure() throws Exception {
    CountDownLatch runs = new CountDownLatch(3);
    try (ControlThread control = new ControlThread("c", (name, failure) -> failures.add(failure))) {
      control.scheduleRepeatedly(
          () -> {
            runs.countDown();
            throw new IllegalStateException();
          },
          1);
      assertThat(runs.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Test
  void closedControlThreadIgnoresTasks() {
    ControlThread control = new ControlThread("c", FailureHandler.logging());
    control.close();
    control.execute(() -> failures.add(new AssertionError()));
    assertThat(failures).isEmpty();
  }

  @Test
  void fullTrafficPoolRejectsTasks() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch started = new CountDownLatch(1);
    try (TrafficPool pool = new TrafficPool("t", 1, 1, FailureHandler.logging())) {
      pool.execute(
          () -> {
            started.countDown();
            awaitQuietly(release);
          });
      assertThat(started.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
      pool.execute(() -> {});
      CodedException full = assertThrows(CodedException.class, () -> pool.execute(() -> {}));
      assertThat(full.code()).isEqualTo(ErrorCode.UNAVAILABLE);
      release.countDown();
    }
  }

  @Test
  void sharedKeyIsComparedButNeverPrinted() {
    SharedKey key = new SharedKey("0123456789abcdef");
    assertThat(key.matches("0123456789abcdef")).isTrue();
    assertThat(key.matches("0123456789abcdeg")).isFalse();
    assertThat(key.matches(null)).isFalse();
    assertThat(key.toString()).doesNotContain("0123");
    assertThrows(CodedException.class, () -> new SharedKey("short"));
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException interrupt) {
      Thread.currentThread().interrupt();
    }
  }
}
