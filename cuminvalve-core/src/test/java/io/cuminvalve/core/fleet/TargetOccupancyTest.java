package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Guards against counting the time in the queue of a target as work of its slots: a queue would
 * then look like overload, and requests would be refused while slots are free.
 */
class TargetOccupancyTest {

  @Test
  void timeInTheQueueIsNoWork() {
    assertThat(occupancy(2, 0, 2).serviceTimeMs(120)).isEqualTo(120);
    assertThat(occupancy(2, 2, 2).serviceTimeMs(240)).isEqualTo(120);
    assertThat(occupancy(2, 8, 2).serviceTimeMs(600)).isEqualTo(120);
  }

  private static TargetOccupancy occupancy(int running, int waiting, int slots) {
    return new TargetOccupancy(running, waiting, slots, OptionalInt.empty());
  }
}
