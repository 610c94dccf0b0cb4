package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestStoryTest {

  private final List<LogLine> lines = StoryLines.read(StoryLines.MIXED);

  @Test
  void theRefusedRequestHasNotRun() {
    assertThat(RequestStory.of("r1", lines).outcomes())
        .containsExactly(
            "10:00:11.200 g2 after 70 ms: answered 503, it has not run:"
                + " as the gateway knew it, no target had a lease of the key");
  }

  @Test
  void theEndIsFoundBeforeTheLineOfItsAttempt() {
    RequestStory story = RequestStory.of("r4", lines);
    assertThat(story.steps()).hasSize(2);
    assertThat(story.outcomes())
        .containsExactly(
            "10:00:13.000 g2 after 28 ms: answered 502, it may have run:"
                + " the target closed the connection without an answer");
  }

  @Test
  void theServedRequestNeedsNoReason() {
    RequestStory story = RequestStory.of("r3", lines);
    assertThat(story.outcomes()).containsExactly("10:00:12.500 g2 after 50 ms: served by a");
    assertThat(story.causes()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          event=request_refused id=r status=404 why=no_route | refused with 404: no route of
          event=request_failed_at_target id=r target=a age_ms=9 why=status_500 | after 9 ms: target a answered status_500
          event=caller_gone id=r target=a age_ms=9 why=closed | after 9 ms: the caller left
          event=attempt_failed id=r target=a why=EOFException | no line shows its end
          event=request_given_up id=r age_ms=1 why=status=502 reason=OddException | its attempt failed (OddException)
          """)
  void everyEndIsTold(String text, String outcome) {
    RequestStory story = RequestStory.of("r", StoryLines.read("10:00:00.000 INFO " + text));
    assertThat(story.outcomes().get(0)).contains(outcome);
  }

  @Test
  void stepsAndContextComeInTheOrderOfTheirTimes() {
    List<LogLine> story = RequestStory.of("r4", lines).inOrder();
    assertThat(story).isInOrder((a, b) -> Long.compare(((LogLine) a).atMs(), ((LogLine) b).atMs()));
    assertThat(story).containsAtLeastElementsIn(RequestStory.of("r4", lines).steps());
  }

  @Test
  void theRequestNobodyNamesIsAnErrorThatCountsSuppressedLines() {
    List<LogLine> more =
        StoryLines.read("g1 10:00:00.000 INFO event=log_suppressed of=request_served lines=12");
    CodedException failure = assertThrows(CodedException.class, () -> RequestStory.of("r9", more));
    assertThat(failure)
        .hasMessageThat()
        .isEqualTo("no line of 1 process(es) names request r9; 12 line(s) were suppressed");
  }
}
