package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.gateway.traffic.RoutingState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bounds on the age of knowledge, in fleets of any width. */
class FleetTimingsTest {

  private static final long IN_FORCE_MS = 2_000;
  private static final long SLOW_ANSWER_MS = 240;

  /** Guards against requests of wide fleets that are sent by an old configuration. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void nothingIsSentByConfigurationsThatMayBeOutOfForce(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("the gate's bound in a fleet of %s, ms", processes)
        .that(timings.configurationMaxAgeMs())
        .isLessThan(IN_FORCE_MS);
  }

  /** Guards against refusals for want of an answer: a slow store is asked before that bound. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void oldConfigurationsAreLookedUpBeforeTheyForbidRequests(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("age at the look in a fleet of %s, and a slow answer, ms", processes)
        .that(timings.confirmedMs() + SLOW_ANSWER_MS)
        .isLessThan(timings.configurationMaxAgeMs());
  }

  /** Guards against looks in the ordinary course: each gateway of a wide fleet would ask. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void wordsOfTheHolderThatComeInTimeAreEnough(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("age before the next word in a fleet of %s, ms", processes)
        .that(KeyFollower.SHORT_WAIT_MS + timings.helloIntervalMs())
        .isLessThan(timings.confirmedMs());
  }
}
