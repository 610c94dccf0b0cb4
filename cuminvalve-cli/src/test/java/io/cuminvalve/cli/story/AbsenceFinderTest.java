package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class AbsenceFinderTest {

  /** Target a asks g1 for rest; target b leaves, as g2 hears from g1, while the store is away. */
  private static final String LOG =
      """
         1.0000 g1 10:00:01.000 INFO event=target_rest target=a rest_ms=3040
         1.1000 g2 10:00:01.100 INFO event=target_rest target=a rest_ms=3200
         1.5000 g1 10:00:01.500 INFO event=request_held_off id=r1 service=core key=25 target=a retry_after_ms=2540
         1.5000 g1 10:00:01.500 INFO event=request_given_up id=r1 fingerprint=aa.bb route=x service=core key=25 target=- runs=0 refusals=0 age_ms=2 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=target_resting
         2.0000 g1 10:00:02.000 INFO event=target_leaving target=b source=answer
         2.0100 g2 10:00:02.010 INFO event=target_leaving target=b source=heard
         4.0000 g2 10:00:04.000 INFO event=request_key_stuck id=r2 service=core key=99 target=b retry_after_ms=900
         4.0000 g2 10:00:04.000 INFO event=request_given_up id=r2 fingerprint=aa.cc route=x service=core key=99 target=- runs=0 refusals=0 age_ms=1 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=key_stuck
         4.1000 g2 10:00:04.100 INFO event=request_given_up id=r3 fingerprint=aa.dd route=x service=core key=99 target=- runs=0 refusals=0 age_ms=70 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=owner_leaving
         4.2000 g2 10:00:04.200 INFO event=request_given_up id=r4 fingerprint=aa.ee route=x service=core key=25 target=- runs=0 refusals=0 age_ms=70 config=4 owners=8.1 targets_age_ms=600 why=status=503 reason=owner_busy
      """;

  private final List<LogLine> lines = StoryLines.read(LOG);

  @Test
  void tellsWhichTargetHadAskedForRest() {
    assertThat(causes("r1"))
        .containsExactly(
            "target a had asked the gateway for rest; the caller was told to come back after"
                + " 2540 ms",
            "the rest began at 10:00:01.000 and was to last 3040 ms")
        .inOrder();
  }

  @Test
  void tellsWhyTheKeyOfTheLeavingTargetCouldNotMove() {
    assertThat(causes("r2"))
        .containsExactly(
            "its owner b could not run it, and no key could move, since the store did not answer"
                + " the holder of the term; the caller was told to come back after 900 ms",
            "target b had said that it leaves; g2 heard that at 10:00:02.010")
        .inOrder();
  }

  @Test
  void tellsWhoHadSaidThatItLeaves() {
    assertThat(causes("r3"))
        .containsExactly("target b had said that it leaves; g2 heard that at 10:00:02.010");
  }

  @Test
  void requestsThatWereGivenUpForAnotherReasonHaveNone() {
    assertThat(causes("r4")).isEmpty();
  }

  @Test
  void theStoryOfTheRequestTellsIt() {
    RequestStory story = RequestStory.of("r1", lines);
    assertThat(story.outcomes())
        .containsExactly(
            "10:00:01.500 g1 after 2 ms: answered 503, it has not run:"
                + " all targets that may run it had asked for rest");
    assertThat(story.causes()).contains("the rest began at 10:00:01.000 and was to last 3040 ms");
  }

  private List<String> causes(String id) {
    return new AbsenceFinder(StoryLines.endOf(id, lines)).causes(lines);
  }
}
