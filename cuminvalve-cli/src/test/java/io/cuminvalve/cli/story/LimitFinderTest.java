package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class LimitFinderTest {

  /** Target a names a limit through g1; g2 hears of it and refuses r4. */
  private static final String LOG =
      """
         1.0000 g1 10:00:01.000 INFO event=target_limit target=a limit_per_s=2.25 source=answer
         1.0100 g2 10:00:01.010 INFO event=target_limit target=a limit_per_s=2.25 source=heard
         5.2000 g2 10:00:05.200 INFO event=target_limit_used target=a limit_per_s=2.25 sent=3 in_ms=4190 alone=false
         5.3000 g1 10:00:05.300 INFO event=target_limit_used target=a limit_per_s=2.25 sent=5 in_ms=4300 alone=false
         6.0000 g2 10:00:06.000 INFO event=request_limited id=r4 service=core key=25 target=a limit_per_s=2.25 retry_after_ms=440
         6.0000 g2 10:00:06.000 INFO event=request_given_up id=r4 fingerprint=aa.bb route=x service=core key=25 target=- runs=0 refusals=0 age_ms=9 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=target_limited
         6.1000 g2 10:00:06.100 INFO event=request_given_up id=r5 fingerprint=aa.ee route=x service=core key=25 target=- runs=0 refusals=0 age_ms=70 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=owner_busy
         7.0000 g2 10:00:07.000 INFO event=target_limit_used target=a limit_per_s=2.25 sent=9 in_ms=4190 alone=true
      """;

  private final List<LogLine> lines = StoryLines.read(LOG);

  @Test
  void theLimitOfTheTargetIsTheCause() {
    assertThat(causes("r4"))
        .containsExactly(
            "target a takes 2.25 requests a second from all gateways together; the caller was told"
                + " to come back after 440 ms",
            "g2 heard that at 10:00:01.010",
            "g2 had sent it 3 in 4190 ms until 10:00:05.200")
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
            "10:00:06.000 g2 after 9 ms: answered 503, it has not run:"
                + " all targets that may run it take a limited number of requests a second");
    assertThat(story.causes()).contains("g2 heard that at 10:00:01.010");
  }

  private List<String> causes(String id) {
    return new LimitFinder(StoryLines.endOf(id, lines)).causes(lines);
  }
}
