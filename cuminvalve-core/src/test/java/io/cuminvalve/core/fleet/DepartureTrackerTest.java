package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

class DepartureTrackerTest {

  private static final TargetId TARGET = new TargetId("core-0");

  private final DepartureTracker tracker = new DepartureTracker();

  @Test
  void eachDepartureIsNewOnce() {
    assertThat(tracker.add(TARGET, 1_000)).isTrue();
    assertThat(tracker.add(TARGET, 2_000)).isFalse();
    assertThat(tracker.merge(new DepartureReport(TARGET, 5_000), 3_000)).isFalse();
    assertThat(tracker.targets()).containsExactly(TARGET);
  }

  @Test
  void reportsTheAgeOfTheFirstNotice() {
    tracker.add(TARGET, 10_000);
    tracker.merge(new DepartureReport(TARGET, 3_000), 11_000);
    tracker.add(TARGET, 12_000);
    assertThat(tracker.reports(List.of(TARGET, new TargetId("core-1")), 12_000))
        .containsExactly(new DepartureReport(TARGET, 4_000));
  }

  @Test
  void sameDeparturesGiveTheSameDigest() {
    final DepartureTracker other = new DepartureTracker();
    assertThat(tracker.digest()).isEqualTo(0);
    tracker.add(TARGET, 1_000);
    tracker.add(new TargetId("core-1"), 2_000);
    other.add(new TargetId("core-1"), 5_000);
    assertThat(other.digest()).isNotEqualTo(tracker.digest());
    other.add(TARGET, 6_000);
    assertThat(other.digest()).isEqualTo(tracker.digest());
  }

  /** The registry entry of a run may reappear after an outage and still say that it is ready. */
  @Test
  void runsAreRememberedForLongerThanTheyAreRegistered() {
    tracker.add(TARGET, 0);
    assertThat(tracker.forget(id -> false, DepartureTracker.UNREGISTERED_RETENTION_MS)).isFalse();
    assertThat(tracker.forget(id -> true, 10 * DepartureTracker.UNREGISTERED_RETENTION_MS))
        .isFalse();
    assertThat(tracker.targets()).containsExactly(TARGET);
    assertThat(tracker.forget(id -> false, DepartureTracker.UNREGISTERED_RETENTION_MS + 1))
        .isTrue();
    assertThat(tracker.targets()).isEmpty();
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < DepartureTracker.MAX_TARGETS + 10; i++) {
      tracker.add(new TargetId("core-" + i), 0);
    }
    assertThat(tracker.targets()).hasSize(DepartureTracker.MAX_TARGETS);
    assertThat(tracker.add(new TargetId("one-more"), 0)).isFalse();
  }
}
