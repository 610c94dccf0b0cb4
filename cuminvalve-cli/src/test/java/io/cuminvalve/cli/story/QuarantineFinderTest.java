package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class QuarantineFinderTest {

  /** Three gateways lose a target each; r4 comes to g2, from another caller r5. */
  private static final String LOG =
      """
         1.0000 g1 10:00:01.000 INFO event=target_ended_under_request id=r1 fingerprint=aa.bb target=a sent_before_ms=4 known_after_ms=43
         2.0000 g2 10:00:02.000 INFO event=target_ended_under_request id=r2 fingerprint=aa.bb target=b sent_before_ms=4 known_after_ms=43
         2.5000 g2 10:00:02.500 INFO event=target_ended_under_request id=x2 fingerprint=cc.dd target=b sent_before_ms=70 known_after_ms=543
         3.0000 g3 10:00:03.000 INFO event=target_ended_under_request id=r3 fingerprint=aa.bb target=c sent_before_ms=4 known_after_ms=43
         3.0100 g3 10:00:03.010 INFO event=request_quarantined fingerprint=bb crashes=3 targets=a,b,c for_ms=30000
         3.0200 g2 10:00:03.020 INFO event=request_quarantined fingerprint=bb crashes=3 targets=a,b,c for_ms=29990
         4.0000 g2 10:00:04.000 INFO event=request_given_up id=r4 fingerprint=aa.bb route=x service=core key=25 target=- runs=0 refusals=0 age_ms=0 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=quarantined
         4.1000 g2 10:00:04.100 INFO event=request_given_up id=r5 fingerprint=aa.ee route=x service=core key=25 target=- runs=0 refusals=0 age_ms=70 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=owner_busy
         5.0000 g3 10:00:05.000 INFO event=target_ended_under_request id=r6 fingerprint=aa.bb target=d sent_before_ms=4 known_after_ms=43
      """;

  private final List<LogLine> lines = StoryLines.read(LOG);

  @Test
  void targetsThatEndedUnderRequestsLikeItAreTheCause() {
    assertThat(causes("r4"))
        .containsExactly(
            "target a ended under a request like it, r1, as g1 found at 10:00:01.000",
            "target b ended under a request like it, r2, as g2 found at 10:00:02.000",
            "target c ended under a request like it, r3, as g3 found at 10:00:03.000",
            "g2 sent such requests to no target from 10:00:03.020 on, for 29990 ms,"
                + " after 3 crashes")
        .inOrder();
  }

  @Test
  void requestsThatWereGivenUpForAnotherReasonHaveNone() {
    assertThat(causes("r5")).isEmpty();
  }

  @Test
  void theStoryOfTheRequestTellsIt() {
    RequestStory story = RequestStory.of("r4", lines);
    assertThat(story.outcomes())
        .containsExactly(
            "10:00:04.000 g2 after 0 ms: answered 503, it has not run:"
                + " several targets ended under requests like it, so it is sent to none");
    assertThat(story.causes())
        .contains("target c ended under a request like it, r3, as g3 found at 10:00:03.000");
  }

  private List<String> causes(String id) {
    return new QuarantineFinder(StoryLines.endOf(id, lines)).causes(lines);
  }
}
