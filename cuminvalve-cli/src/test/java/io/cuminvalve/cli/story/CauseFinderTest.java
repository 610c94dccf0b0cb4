package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CauseFinderTest {

  private final List<LogLine> lines = StoryLines.read(StoryLines.MIXED);

  @Test
  void gapOfItsKeyIsCause() {
    assertThat(causes("r1"))
        .containsExactly(
            "key 25 had no owner that could be reached since 10:00:11.000 until 10:00:12.500",
            "  10:00:11.000 keys_moved to b, load 0.45",
            "  10:00:11.010 a gives them back: DONE after 4 ms",
            "  10:00:12.100 keys_taken_over by g3",
            "requests of key 25 that ended within 1000 ms:"
                + " 1 request_given_up key_on_the_move, 1 request_served status_200")
        .inOrder();
  }

  @Test
  void whatOthersMetAtItsTargetIsCause() {
    assertThat(causes("r4"))
        .contains(
            "requests of target c that ended within 1000 ms: 1 request_given_up EOFException");
  }

  @Test
  void ownerOfItsKeyIsCauseToo() {
    assertThat(causes("r4"))
        .contains(
            "key 35 was owned by c since 10:00:13.000 until 10:00:13.400"
                + " (a request was sent there)");
  }

  @Test
  void theServedRequestHasNone() {
    assertThat(causes("r3")).isEmpty();
  }

  private List<String> causes(String id) {
    List<LogLine> steps = lines.stream().filter(line -> line.has("id", id)).toList();
    return new CauseFinder(steps, lines).causes();
  }
}
