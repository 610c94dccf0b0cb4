package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnowledgeFinderTest {

  private final List<LogLine> lines = StoryLines.read(StoryLines.MIXED);

  @Test
  void gatewayThatLagsIsShown() {
    assertThat(knowledge("r1"))
        .containsExactly(
            new Knowledge(
                "g2", "10:00:11.200", "request_given_up", "3", "4", 100, "7.2", "7.2", 0, 900));
  }

  @Test
  void whatIsKnownLaterIsNotHeldAgainstIt() {
    Knowledge first = knowledge("r0").get(0);
    assertThat(first.newestConfig()).isEqualTo("3");
    assertThat(first.configBehindMs()).isEqualTo(0);
    Knowledge later = knowledge("r3").get(0);
    assertThat(later.newestOwners()).isEqualTo("8.1");
    assertThat(later.ownersBehindMs()).isEqualTo(0);
  }

  @Test
  void eachStepHasItsOwn() {
    assertThat(knowledge("r4").stream().map(Knowledge::event).toList())
        .containsExactly("request_given_up", "attempt_failed")
        .inOrder();
  }

  @Test
  void whatWasRefusedBeforeAnyRouteNeedsNone() {
    List<LogLine> refused =
        StoryLines.read("10:00:00.000 INFO event=request_refused id=r why=no_route status=404");
    assertThat(KnowledgeFinder.at(refused, refused)).isEmpty();
  }

  private List<Knowledge> knowledge(String id) {
    return KnowledgeFinder.at(lines.stream().filter(line -> line.has("id", id)).toList(), lines);
  }
}
