package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.gateway.traffic.RoutingState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the bounds on the age of state in fleets of various sizes. */
class FleetTimingsTest {

  private static final long IN_FORCE_MS = 2_000;
  private static final long SLOW_ANSWER_MS = 240;

  /** Guards against requests in large fleets that are routed by an outdated configuration. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void nothingIsSentByConfigurationsThatMayBeOutOfForce(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("maximum age of the configuration in a fleet of %s, ms", processes)
        .that(timings.configurationMaxAgeMs())
        .isLessThan(IN_FORCE_MS);
  }

  /**
   * Guards against refused requests because a store query came too late: the store, even a slow
   * one, is queried before that bound is reached.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void oldConfigurationsAreQueriedBeforeTheyForbidRequests(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("age at the end of a slow store query in a fleet of %s, ms", processes)
        .that(timings.confirmedMs() + SLOW_ANSWER_MS)
        .isLessThan(timings.configurationMaxAgeMs());
  }

  /**
   * Guards against store queries in normal operation, when every gateway of a large fleet would
   * send them.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 40, 45, 87, 300, 1_000})
  void beatsOfTheHolderThatArriveInTimeAreEnough(int processes) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    assertWithMessage("age before the next beat in a fleet of %s, ms", processes)
        .that(KeyFollower.SHORT_WAIT_MS + timings.helloIntervalMs())
        .isLessThan(timings.confirmedMs());
  }
}
