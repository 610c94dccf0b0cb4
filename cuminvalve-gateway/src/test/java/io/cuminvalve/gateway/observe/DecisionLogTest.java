package io.cuminvalve.gateway.observe;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLogTest {

  private final List<String> lines = new ArrayList<>();
  private long nowMs;
  private final DecisionLog log = new DecisionLog(() -> nowMs, 2, lines::add);

  @Test
  void argumentsReplacePlaceholders() {
    log.write("moved", "from={} to={} load={}", "a", "b", 0.5);
    log.write("plain", "all=1");
    log.write("short", "one={} two={}", 1);
    assertThat(lines)
        .containsExactly(
            "event=moved from=a to=b load=0.5", "event=plain all=1", "event=short one=1 two={}")
        .inOrder();
  }

  @Test
  void floodOfOneEventDoesNotHideOthers() {
    for (int i = 0; i < 10; i++) {
      log.write("flood", "i={}", i);
    }
    log.write("rare", "x=1");
    assertThat(lines).containsExactly("event=flood i=0", "event=flood i=1", "event=rare x=1");
    assertThat(log.suppressedLines()).isEqualTo(8);
  }

  @Test
  void numberOfSuppressedLinesIsLogged() {
    for (int i = 0; i < 5; i++) {
      log.write("flood", "i={}", i);
    }
    lines.clear();
    nowMs = 1_000;
    log.write("flood", "i=5");
    assertThat(lines)
        .containsExactly("event=log_suppressed of=flood lines=3", "event=flood i=5")
        .inOrder();
  }
}
