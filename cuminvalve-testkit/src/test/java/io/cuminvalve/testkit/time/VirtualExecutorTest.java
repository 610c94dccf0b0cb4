package io.cuminvalve.testkit.time;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class VirtualExecutorTest {

  private final VirtualClock clock = new VirtualClock(0);
  private final VirtualExecutor executor = new VirtualExecutor(clock);
  private final List<String> seen = new ArrayList<>();

  @Test
  void tasksRunOnVirtualTime() {
    executor.execute(() -> seen.add("now"));
    executor.schedule(() -> seen.add("later"), 30, TimeUnit.MILLISECONDS);
    assertThat(seen).isEmpty();
    clock.advance(0);
    assertThat(seen).containsExactly("now");
    clock.advance(30);
    assertThat(seen).containsExactly("now", "later").inOrder();
  }

  @Test
  void periodicTasksRunUntilTheyAreCancelled() {
    Future<?> ticking =
        executor.scheduleWithFixedDelay(() -> seen.add("t"), 10, 10, TimeUnit.MILLISECONDS);
    clock.advance(35);
    assertThat(seen).hasSize(3);
    ticking.cancel(false);
    clock.advance(100);
    assertThat(seen).hasSize(3);
  }

  @Test
  void nothingRunsAfterTheEnd() {
    executor.schedule(() -> seen.add("later"), 10, TimeUnit.MILLISECONDS);
    executor.shutdownNow();
    clock.advance(100);
    assertThat(seen).isEmpty();
  }
}
