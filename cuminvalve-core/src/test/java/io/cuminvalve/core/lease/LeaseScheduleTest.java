package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Runs generated schedules of faults against holders and targets. */
class LeaseScheduleTest {

  private static final long DURATION_MS = 60_000;

  @Property(tries = 150, seed = "7")
  void noKeyHasTwoOwners(@ForAll long seed) {
    LeaseWorld world = new LeaseWorld(seed);
    world.run(DURATION_MS);
    assertThat(world.heldAtMost()).isGreaterThan(LeaseTarget.SAMPLES / 2);
  }
}
