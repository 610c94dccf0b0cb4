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
    assertThat(leases.received().remaining().term()).isEqualTo(0);
    assertThat(leases.leasesBefore(9, 0)).isEmpty();
  }

  @Test
  void remainingTimesShrinkWhileLeasesAreStored() {
    leases.onReceived(remaining(3, 1_000, 5_000), 100);
    assertThat(leases.leasesBefore(4, 2_100)).hasValue(remaining(3, 3_000));
  }

  @Test
  void theNewestTermIsReturned() {
    leases.onOwnTermEnded(remaining(5, 500), 0);
    leases.onReceived(remaining(3, 1_000), 0);
    assertThat(leases.leasesBefore(6, 0)).hasValue(remaining(5, 500));
    leases.onReceived(remaining(7, 700), 0);
    leases.onReceived(remaining(6, 600), 0);
    assertThat(leases.leasesBefore(8, 0)).hasValue(remaining(7, 700));
  }

  @Test
  void onlyEarlierTermsAreReturned() {
    leases.onReceived(remaining(3, 1_000), 0);
    assertThat(leases.leasesBefore(3, 0)).isEmpty();
  }

  private static RemainingLeases remaining(long term, long... leftMs) {
    List<RemainingLease> list = new ArrayList<>();
    for (long ms : leftMs) {
      list.add(new RemainingLease(new ServiceId("core"), 0, 9, new TargetId("a"), ms));
    }
    return new RemainingLeases(term, list);
  }
}
