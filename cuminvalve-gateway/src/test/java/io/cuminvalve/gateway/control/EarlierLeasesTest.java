package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.RemainingLease;
import io.cuminvalve.core.protocol.RemainingLeases;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EarlierLeasesTest {

  private final EarlierLeases leases = new EarlierLeases();

  @Test
  void nothingIsKnownAtFirst() {
    assertThat(leases.heard().left().term()).isEqualTo(0);
    assertThat(leases.leftBefore(9, 0)).isEmpty();
  }

  @Test
  void leasesRunOnWhileTheyAreRemembered() {
    leases.onHeard(left(3, 1_000, 5_000), 100);
    assertThat(leases.leftBefore(4, 2_100)).hasValue(left(3, 3_000));
  }

  @Test
  void theNewestTermCounts() {
    leases.onOwnTermEnded(left(5, 500), 0);
    leases.onHeard(left(3, 1_000), 0);
    assertThat(leases.leftBefore(6, 0)).hasValue(left(5, 500));
    leases.onHeard(left(7, 700), 0);
    leases.onHeard(left(6, 600), 0);
    assertThat(leases.leftBefore(8, 0)).hasValue(left(7, 700));
  }

  @Test
  void onlyEarlierTermsAreTold() {
    leases.onHeard(left(3, 1_000), 0);
    assertThat(leases.leftBefore(3, 0)).isEmpty();
  }

  private static RemainingLeases left(long term, long... leftMs) {
    List<RemainingLease> list = new ArrayList<>();
    for (long ms : leftMs) {
      list.add(new RemainingLease(new ServiceId("core"), 0, 9, new TargetId("a"), ms));
    }
    return new RemainingLeases(term, list);
  }
}
