package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import org.junit.jupiter.api.Test;

class ArrivalBoundsTest {

  private static final UpperTime ACCEPTED = new UpperTime(100);

  private final ArrivalBounds bounds = new ArrivalBounds(ACCEPTED);

  /** A connection that waited 2 s to be accepted, and its request with it. */
  @Test
  void whatIsReadFirstMayHaveArrivedWithTheConnection() {
    bounds.onBytes(2_100);
    assertThat(bounds.arrivedAfter(2_101)).isEqualTo(ACCEPTED);
  }

  @Test
  void whatIsReadLaterArrivedAfterTheConnectionWasSeenEmpty() {
    bounds.onBytes(1_000);
    bounds.onEmpty(new UpperTime(1_100));
    bounds.onEmpty(new UpperTime(1_900));
    bounds.onBytes(2_000);
    assertThat(bounds.arrivedAfter(2_001)).isEqualTo(new UpperTime(1_900));
  }

  /** Nothing was seen between two reads: the bytes of the second may have been there before. */
  @Test
  void readsInSequenceCountFromTheFirst() {
    bounds.onEmpty(new UpperTime(500));
    bounds.onBytes(1_000);
    bounds.onBytes(3_000);
    assertThat(bounds.arrivedAfter(3_001)).isEqualTo(new UpperTime(500));
  }

  /** The caller counts from the first piece of the head, not from the last one. */
  @Test
  void piecesOfOneMessageCountFromTheFirst() {
    bounds.onEmpty(new UpperTime(500));
    bounds.onBytes(1_000);
    bounds.onEmpty(new UpperTime(1_500));
    bounds.onBytes(2_000);
    bounds.onEmpty(new UpperTime(2_500));
    assertThat(bounds.arrivedAfter(1_001)).isEqualTo(new UpperTime(500));
  }

  /** The rest of an earlier message is not part of the next one. */
  @Test
  void piecesOfAnEarlierMessageDoNotCount() {
    bounds.onBytes(1_000);
    bounds.onEmpty(new UpperTime(1_100));
    bounds.onBytes(1_200);
    bounds.onEmpty(new UpperTime(9_000));
    bounds.onBytes(9_100);
    assertThat(bounds.arrivedAfter(9_101)).isEqualTo(new UpperTime(9_000));
  }

  @Test
  void longMessagesDoNotFillTheMemoryAndHideNoLaterOne() {
    for (int piece = 0; piece < 10_000; piece++) {
      bounds.onBytes(1_000 + piece);
    }
    bounds.onEmpty(new UpperTime(20_000));
    bounds.onBytes(20_100);
    assertThat(bounds.arrivedAfter(20_101)).isEqualTo(new UpperTime(20_000));
  }

  @Test
  void withoutAnyReadTheLastMomentCounts() {
    bounds.onEmpty(new UpperTime(700));
    assertThat(bounds.arrivedAfter(800)).isEqualTo(new UpperTime(700));
  }
}
