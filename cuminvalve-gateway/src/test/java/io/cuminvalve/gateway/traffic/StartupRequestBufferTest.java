package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StartupRequestBufferTest {

  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<String> calls = new ArrayList<>();
  private final Timers timers =
      (task, delayMs) -> {
        scheduled.add(task);
        return () -> {};
      };
  private final StartupRequestBuffer buffer = new StartupRequestBuffer(timers);

  @Test
  void heldRequestsGoOnOnceTheConfigurationIsKnown() {
    assertThat(hold("a")).isTrue();
    assertThat(calls).isEmpty();
    buffer.onConfiguration();
    runAll();
    assertThat(calls).containsExactly("go a");
  }

  @Test
  void heldRequestsAreRefusedAfterTheTimeout() {
    hold("a");
    runAll();
    buffer.onConfiguration();
    runAll();
    assertThat(calls).containsExactly("give up a");
  }

  @Test
  void nothingIsHeldOnceTheConfigurationIsKnown() {
    buffer.onConfiguration();
    assertThat(hold("a")).isFalse();
  }

  @Test
  void numberOfHeldRequestsIsBounded() {
    int held = 0;
    while (hold("x") && held < 10_000) {
      held++;
    }
    assertThat(held).isEqualTo(256);
  }

  private boolean hold(String name) {
    return buffer.hold(() -> calls.add("go " + name), () -> calls.add("give up " + name));
  }

  private void runAll() {
    List<Runnable> due = List.copyOf(scheduled);
    scheduled.clear();
    due.forEach(Runnable::run);
  }
}
