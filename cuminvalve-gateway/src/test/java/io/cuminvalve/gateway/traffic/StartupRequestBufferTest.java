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
  private final StartupRequestBuffer early = new StartupRequestBuffer(timers);

  @Test
  void heldRequestsGoOnOnceTheConfigurationIsKnown() {
    assertThat(hold("a")).isTrue();
    assertThat(calls).isEmpty();
    early.onConfiguration();
    runAll();
    assertThat(calls).containsExactly("go a");
  }

  @Test
  void requestsAreGivenUpInTime() {
    hold("a");
    runAll();
    early.onConfiguration();
    runAll();
    assertThat(calls).containsExactly("give up a");
  }

  @Test
  void nothingIsHeldOnceTheConfigurationIsKnown() {
    early.onConfiguration();
    assertThat(hold("a")).isFalse();
  }

  @Test
  void onlySoManyAreHeld() {
    int held = 0;
    while (hold("x") && held < 10_000) {
      held++;
    }
    assertThat(held).isEqualTo(256);
  }

  private boolean hold(String name) {
    return early.hold(() -> calls.add("go " + name), () -> calls.add("give up " + name));
  }

  private void runAll() {
    List<Runnable> due = List.copyOf(scheduled);
    scheduled.clear();
    due.forEach(Runnable::run);
  }
}
