package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KeyTimelineTest {

  private static final String MOVE =
      "10:00:01.000 INFO event=keys_moved service=core keys=20-29 from=a to=b load=0.5\n";

  @Test
  void moveThatWasNeverStoredEndsWithTheOwnerBefore() {
    KeyTimeline timeline = timeline(25, StoryLines.MIXED);
    assertThat(timeline.owners())
        .containsExactly(
            new Ownership("a", span("10:00:10.500", "10:00:11.000", 500), "answered a request"),
            new Ownership("a", open("10:00:12.500"), "first answer of a for these keys"))
        .inOrder();
    Gap gap = timeline.gaps().get(0);
    assertThat(timeline.gaps()).hasSize(1);
    assertThat(gap.time()).isEqualTo(span("10:00:11.000", "10:00:12.500", 1_500));
    assertThat(gap.reasons())
        .containsExactly(
            "10:00:11.000 keys_moved to b, load 0.45",
            "10:00:11.010 a gives them back: DONE after 4 ms",
            "10:00:12.100 keys_taken_over by g3")
        .inOrder();
    assertThat(gap.refusedOfKey()).isEqualTo(1);
    assertThat(gap.refusedOfRange()).isEqualTo(2);
  }

  @Test
  void unreachableOwnerLeavesGapUntilItsKeysAreGranted() {
    KeyTimeline timeline = timeline(35, StoryLines.MIXED);
    assertThat(timeline.owners())
        .containsExactly(
            new Ownership(
                "c", span("10:00:13.000", "10:00:13.400", 400), "a request was sent there"),
            new Ownership("b", open("10:00:13.900"), "keys_granted"))
        .inOrder();
    assertThat(timeline.gaps().get(0).time()).isEqualTo(span("10:00:13.400", "10:00:13.900", 500));
    assertThat(timeline.gaps().get(0).reasons())
        .containsExactly(
            "10:00:13.400 no lease for c: NOT_SENT, it accepts no connection",
            "10:00:13.710 keys_evacuated to b, after target_replaced c at 10:00:13.700")
        .inOrder();
  }

  @Test
  void unseenGrantEndsWithTheFirstAnswer() {
    KeyTimeline timeline =
        timeline(
            25,
            MOVE,
            """
            10:00:01.100 INFO event=request_served service=core key=21 target=a age_ms=400 why=x
            10:00:01.200 INFO event=request_served service=core key=30 target=b age_ms=1 why=x
            10:00:01.300 INFO event=request_served service=files key=25 target=b age_ms=1 why=x
            10:00:01.400 INFO event=request_served service=core key=21 target=b age_ms=250 why=x
            """);
    assertThat(timeline.gaps().get(0).time()).isEqualTo(span("10:00:01.000", "10:00:01.400", 400));
    assertThat(timeline.owners().get(0).target()).isEqualTo("a");
  }

  @Test
  void keysThatAreMovedOnHadArrived() {
    KeyTimeline timeline =
        timeline(
            25,
            MOVE,
            """
            10:00:02.000 INFO event=keys_moved service=core keys=20-29 from=b to=c load=0.5
            """);
    assertThat(timeline.gaps().get(0).end()).isEqualTo("keys_moved names it");
    assertThat(timeline.gaps().get(1).to()).isEqualTo("c");
    assertThat(timeline.gaps().get(1).time()).isEqualTo(open("10:00:02.000"));
    assertThat(timeline.owners().stream().map(Ownership::target).toList())
        .containsExactly("a", "b")
        .inOrder();
  }

  @Test
  void keysThatCameAlongAndAreMovedOnShowThatAllHadArrived() {
    KeyTimeline timeline =
        timeline(
            25,
            MOVE,
            """
            10:00:02.000 INFO event=keys_moved service=core keys=28-28 from=a to=c load=0.5
            10:00:03.000 INFO event=keys_moved service=core keys=30-39 from=b to=c load=0.5
            10:00:04.000 INFO event=keys_moved service=core keys=20-21 from=b to=c load=0.5
            """);
    assertThat(timeline.gaps()).hasSize(1);
    assertThat(timeline.gaps().get(0).time())
        .isEqualTo(span("10:00:01.000", "10:00:04.000", 3_000));
    assertThat(timeline.owners().get(1))
        .isEqualTo(new Ownership("b", open("10:00:04.000"), "keys that came along are moved on"));
  }

  @Test
  void whatIsEvacuatedHadNotArrived() {
    KeyTimeline timeline =
        timeline(
            25,
            MOVE,
            """
            10:00:02.000 INFO event=target_removed target=b
            10:00:02.100 INFO event=keys_evacuated service=core keys=20-29 to=c
            """);
    assertThat(timeline.gaps()).hasSize(1);
    assertThat(timeline.gaps().get(0).reasons().get(1))
        .isEqualTo("10:00:02.100 keys_evacuated to c, after target_removed b at 10:00:02.000");
  }

  @Test
  void moveWithoutAnyAnswerIsSaidSoWhenTheHolderChanges() {
    KeyTimeline timeline =
        timeline(25, MOVE, "g2 10:00:02.000 INFO event=keys_taken_over service=core ranges=3\n");
    assertThat(timeline.gaps().get(0).reasons().get(1))
        .isEqualTo(
            "10:00:02.000 keys_taken_over by g2: no target had answered an order of the move");
  }

  @Test
  void unexplainedRefusalIsGapOfOneGateway() {
    KeyTimeline timeline =
        timeline(
            25,
            "g4 10:00:01.000 INFO event=request_given_up service=core key=25 target=- age_ms=70"
                + " owners=3.1 why=status=503 reason=owner_unknown\n");
    Gap gap = timeline.gaps().get(0);
    assertThat(gap.time()).isEqualTo(span("10:00:00.930", "10:00:01.000", 70));
    assertThat(gap.reasons().get(0)).contains("g4 knew owners=3.1: the gateway had not heard");
  }

  @Test
  void anOwnerNobodyWasToldOfIsShownAsSuch() {
    KeyTimeline timeline =
        timeline(
            25,
            """
            10:00:01.000 INFO event=request_served service=core key=25 target=a age_ms=1 why=x
            10:00:02.000 INFO event=request_served service=core key=25 target=b age_ms=1500 why=x
            10:00:03.000 INFO event=request_served service=core key=25 target=b age_ms=1 why=x
            """);
    assertThat(timeline.owners())
        .containsExactly(
            new Ownership("a", span("10:00:01.000", "10:00:03.000", 2_000), "answered a request"),
            new Ownership("b", open("10:00:03.000"), "answered a request; no line shows the move"))
        .inOrder();
  }

  @Test
  void replacedHolderBeginsNoGap() {
    KeyTimeline timeline =
        timeline(
            25,
            """
            g1 10:00:01.000 INFO event=term_gained term=1
            g2 10:00:02.000 INFO event=request_served service=core key=25 target=a age_ms=1 why=x
            g2 10:00:03.000 INFO event=term_gained term=2
            g1 10:00:03.100 INFO event=grant_failed service=core target=a keys=20-29 outcome=STALE
            """);
    assertThat(timeline.gaps()).isEmpty();
  }

  private static KeyTimeline timeline(int key, String... parts) {
    KeyTimeline timeline = new KeyTimeline(key, "core");
    StoryLines.read(String.join("", parts)).forEach(timeline::take);
    return timeline;
  }

  private static Span span(String since, String until, long lengthMs) {
    return new Span(since, until, msOf(since), lengthMs);
  }

  private static Span open(String since) {
    return new Span(since, "-", msOf(since), -1);
  }

  private static long msOf(String time) {
    List<LogLine> lines = StoryLines.read(time + " INFO event=e x=1");
    return lines.get(0).atMs();
  }
}
