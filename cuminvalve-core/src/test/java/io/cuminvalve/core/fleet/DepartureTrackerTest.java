package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

class DepartureTrackerTest {

  private static final TargetId TARGET = new TargetId("core-0");

  private final DepartureTracker ledger = new DepartureTracker();

  @Test
  void tellsWhatIsNewsOnce() {
    assertThat(ledger.add(TARGET, 1_000)).isTrue();
    assertThat(ledger.add(TARGET, 2_000)).isFalse();
    assertThat(ledger.merge(new DepartureReport(TARGET, 5_000), 3_000)).isFalse();
    assertThat(ledger.targets()).containsExactly(TARGET);
  }

  @Test
  void reportsHowLongAgoItWasSaidFirst() {
    ledger.add(TARGET, 10_000);
    ledger.merge(new DepartureReport(TARGET, 3_000), 11_000);
    ledger.add(TARGET, 12_000);
    assertThat(ledger.reports(List.of(TARGET, new TargetId("core-1")), 12_000))
        .containsExactly(new DepartureReport(TARGET, 4_000));
  }

  @Test
  void whoKnowsTheSameHasTheSameDigest() {
    final DepartureTracker other = new DepartureTracker();
    assertThat(ledger.digest()).isEqualTo(0);
    ledger.add(TARGET, 1_000);
    ledger.add(new TargetId("core-1"), 2_000);
    other.add(new TargetId("core-1"), 5_000);
    assertThat(other.digest()).isNotEqualTo(ledger.digest());
    other.add(TARGET, 6_000);
    assertThat(other.digest()).isEqualTo(ledger.digest());
  }

  /** Its entry may come back after an outage, and still say that it is ready. */
  @Test
  void runsAreRememberedForLongerThanTheyAreRegistered() {
    ledger.add(TARGET, 0);
    assertThat(ledger.forget(id -> false, DepartureTracker.UNREGISTERED_MS)).isFalse();
    assertThat(ledger.forget(id -> true, 10 * DepartureTracker.UNREGISTERED_MS)).isFalse();
    assertThat(ledger.targets()).containsExactly(TARGET);
    assertThat(ledger.forget(id -> false, DepartureTracker.UNREGISTERED_MS + 1)).isTrue();
    assertThat(ledger.targets()).isEmpty();
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < DepartureTracker.MOST_TARGETS + 10; i++) {
      ledger.add(new TargetId("core-" + i), 0);
    }
    assertThat(ledger.targets()).hasSize(DepartureTracker.MOST_TARGETS);
    assertThat(ledger.add(new TargetId("one-more"), 0)).isFalse();
  }
}
