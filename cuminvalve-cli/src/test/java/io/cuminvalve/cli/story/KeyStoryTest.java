package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import java.util.List;
import org.junit.jupiter.api.Test;

class KeyStoryTest {

  private final List<LogLine> lines = StoryLines.read(StoryLines.MIXED);

  @Test
  void decisionsOnTheKeyAndOnTheHolderAreTold() {
    KeyStory story = KeyStory.of(25, "core", lines);
    assertThat(story.decisions().stream().map(LogLine::event).toList())
        .containsExactly(
            "term_gained",
            "keys_partitioned",
            "keys_moved",
            "release_ended",
            "term_gained",
            "keys_taken_over")
        .inOrder();
    assertThat(story.owners()).hasSize(2);
    assertThat(story.gaps()).hasSize(1);
  }

  @Test
  void refusalsAreCountedBySecond() {
    assertThat(KeyStory.of(25, "core", lines).refusals().get("10:00:11"))
        .containsExactly("key_on_the_move", 1);
    assertThat(KeyStory.of(25, "files", lines).refusals()).isEmpty();
  }

  @Test
  void theServiceIsFoundIfThereIsOne() {
    assertThat(KeyStory.serviceOf(25, lines)).isEqualTo("core");
    assertThrows(CodedException.class, () -> KeyStory.serviceOf(99, lines));
    List<LogLine> two =
        StoryLines.read(
            """
            10:00:01.000 INFO event=request_served service=core key=25 target=a
            10:00:01.000 INFO event=keys_moved service=files keys=20-29 from=a to=b
            """);
    CodedException failure = assertThrows(CodedException.class, () -> KeyStory.serviceOf(25, two));
    assertThat(failure).hasMessageThat().contains("[core, files]");
  }
}
