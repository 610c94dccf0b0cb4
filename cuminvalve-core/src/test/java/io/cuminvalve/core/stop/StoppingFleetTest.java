package io.cuminvalve.core.stop;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.stop.StoppingFleet.Result;
import io.cuminvalve.core.stop.StoppingFleet.Way;
import org.junit.jupiter.api.Test;

/** Compares ways to treat requests that come to a gateway late in its stop. */
class StoppingFleetTest {

  private static final Way[] KEEPING_WAYS = {
    Way.CLOSE_LISTENER, Way.REFUSE_LATE, Way.REFUSE_ALL, Way.HAND_OVER, Way.HAND_OVER_AND_LISTEN
  };
  private static final int SEEDS = 50;
  private static final long SLOW_MS = 1_400;
  private static final long[] MAX_WORK_MS = {100, 400, SLOW_MS};

  /** One gateway after the other. */
  private static final long SERIES_MS = 1_200;

  /** All gateways nearly at a time. */
  private static final long OVERLAPPING_MS = 200;

  private static Result total(Way way, long maxWorkMs) {
    return total(way, maxWorkMs, SERIES_MS);
  }

  private static Result total(Way way, long maxWorkMs, long stopIntervalMs) {
    Result total = new Result(0, 0, 0, 0, 0, 0);
    for (int seed = 1; seed <= SEEDS; seed++) {
      total = total.plus(new StoppingFleet(way, maxWorkMs, stopIntervalMs, seed).run());
    }
    return total;
  }

  @Test
  void noRequestThatWasTakenIsCut() {
    for (long maxWorkMs : MAX_WORK_MS) {
      for (Way way : KEEPING_WAYS) {
        Result result = total(way, maxWorkMs);
        assertWithMessage("%s, work up to %s ms: %s", way, maxWorkMs, result)
            .that(result.cut())
            .isEqualTo(0);
      }
    }
  }

  /** The model shows the fault: without a rule, requests are cut. */
  @Test
  void takingAllRequestsCutsSome() {
    assertThat(total(Way.TAKE_ALL, SLOW_MS).cut()).isGreaterThan(0);
  }

  /** A caller that gets a response knows more than one whose connection is refused. */
  @Test
  void refusingRequestsLeavesFewerWithoutResponseThanNotListening() {
    for (long maxWorkMs : MAX_WORK_MS) {
      Result refusing = total(Way.REFUSE_LATE, maxWorkMs);
      Result closing = total(Way.CLOSE_LISTENER, maxWorkMs);
      assertWithMessage("work up to %s ms: %s, %s", maxWorkMs, refusing, closing)
          .that(refusing.unconnected())
          .isLessThan(closing.unconnected());
    }
  }

  @Test
  void handingOverRefusesFewerAndServesMoreThanRefusing() {
    Result handingOver = total(Way.HAND_OVER, SLOW_MS);
    Result refusing = total(Way.REFUSE_LATE, SLOW_MS);
    assertWithMessage("%s, %s", handingOver, refusing)
        .that(handingOver.refused())
        .isLessThan(refusing.refused());
    assertWithMessage("%s, %s", handingOver, refusing)
        .that(handingOver.served())
        .isGreaterThan(refusing.served());
  }

  @Test
  void listeningUntilOthersTakeOverConnectsMoreCallersInOverlappingStops() {
    for (long maxWorkMs : MAX_WORK_MS) {
      Result listening = total(Way.HAND_OVER_AND_LISTEN, maxWorkMs, OVERLAPPING_MS);
      Result ending = total(Way.HAND_OVER, maxWorkMs, OVERLAPPING_MS);
      assertWithMessage("work up to %s ms: %s, %s", maxWorkMs, listening, ending)
          .that(listening.unconnected())
          .isLessThan(ending.unconnected());
    }
  }
}
