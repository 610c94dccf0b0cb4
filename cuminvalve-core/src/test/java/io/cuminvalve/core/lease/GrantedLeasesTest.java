package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class GrantedLeasesTest {

  private static final GrantedLeases LEASES =
      GrantedLeases.NONE.with(5_000, 1_000).with(6_000, 2_000);

  @Test
  void theLongestLeaseCounts() {
    assertThat(GrantedLeases.NONE.untilMs()).isEqualTo(0);
    assertThat(LEASES.untilMs()).isEqualTo(6_000);
  }

  /** Guards against voiding a lease whose grant the next run may have accepted. */
  @Test
  void onlyLeasesOfGrantsEndedBeforeTheOrderAreVoid() {
    assertThat(LEASES.withoutGrantsEndedBefore(2_000).untilMs()).isEqualTo(6_000);
    assertThat(LEASES.withoutGrantsEndedBefore(2_001).untilMs()).isEqualTo(0);
  }

  /** Leases become shorter when a store outage ends, so the earlier one may expire later. */
  @Test
  void shorterLeaseOfLaterGrantIsKept() {
    GrantedLeases afterOutage = GrantedLeases.NONE.with(11_000, 1_000).with(6_000, 2_000);
    assertThat(afterOutage.untilMs()).isEqualTo(11_000);
    assertThat(afterOutage.withoutGrantsEndedBefore(1_500).untilMs()).isEqualTo(6_000);
  }

  @Test
  void grantsWithUnobservedOutcomeAreNeverVoid() {
    GrantedLeases leases = LEASES.withUnobserved(5_500);
    assertThat(leases.withoutGrantsEndedBefore(Long.MAX_VALUE).untilMs()).isEqualTo(5_500);
  }

  @Test
  void mergedLeasesMayAllBeInForce() {
    GrantedLeases joined = LEASES.mergedWith(GrantedLeases.NONE.with(4_000, 3_000));
    assertThat(joined.untilMs()).isEqualTo(6_000);
    assertThat(joined.withoutGrantsEndedBefore(2_500).untilMs()).isEqualTo(4_000);
  }
}
