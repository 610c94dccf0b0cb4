package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.ColdBound;
import io.cuminvalve.core.route.CallerBounds;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.ServiceProfile;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ColdTargetDetectorTest {

  private static final DataCentreId HERE = new DataCentreId("here");
  private static final ServiceId FRAGILE = new ServiceId("fragile");
  private static final ServiceId STURDY = new ServiceId("sturdy");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final long WARM_UP_MS = 3_000;

  private final VirtualClock clock = new VirtualClock(1_000);
  private final RoutingState state = new RoutingState(3);
  private final QuotaTraffic traffic =
      new QuotaTraffic(clock, (task, delayMs) -> () -> {}, new SplittableRandom(1));

  @BeforeEach
  void start() {
    new ColdTargetDetector(state, traffic.quotas(), new ColdBound(1.5, 8), clock);
  }

  private void configure() {
    List<ServiceProfile> services =
        List.of(
            new ServiceProfile(FRAGILE, true, 10, WARM_UP_MS, 4),
            new ServiceProfile(STURDY, true, 10));
    RoutingConfiguration configuration =
        new RoutingConfiguration(1, List.of(), services, new CallerBounds(1, 1, 1, 1));
    state.update(snapshot -> snapshot.withConfiguration(configuration));
  }

  private static FleetTarget target(TargetId id, ServiceId service, long coldMs) {
    return new FleetTarget(id, service, "10.0.0.1:80", HERE, 2, TargetPhase.READY, coldMs);
  }

  private void register(FleetTarget... targets) {
    state.update(snapshot -> snapshot.withTargets(List.of(targets)));
  }

  private boolean isLimited(TargetId target) {
    return traffic.quotas().limitOf(target).isPresent();
  }

  @Test
  void coldTargetsAreLimitedForTheirTime() {
    configure();
    register(target(A, FRAGILE, 2_000), target(B, FRAGILE, 0));
    clock.advance(1_999);
    assertThat(isLimited(A)).isTrue();
    assertThat(isLimited(B)).isFalse();
    clock.advance(1);
    assertThat(isLimited(A)).isFalse();
  }

  @Test
  void servicesWithoutRateForColdTargetsAreNotLimited() {
    configure();
    register(target(A, STURDY, 2_000));
    assertThat(isLimited(A)).isFalse();
  }

  /** The registration arrives before the configuration that says what a cold target can take. */
  @Test
  void theLimitBeginsWithTheConfiguration() {
    register(target(A, FRAGILE, 2_000));
    assertThat(isLimited(A)).isFalse();
    configure();
    assertThat(isLimited(A)).isTrue();
  }

  /** An unchanged registration must not begin the time anew whenever something else changes. */
  @Test
  void otherChangesDoNotExtendTheTime() {
    configure();
    FleetTarget cold = target(A, FRAGILE, 2_000);
    register(cold);
    clock.advance(1_500);
    register(cold, target(B, FRAGILE, 0));
    clock.advance(500);
    assertThat(isLimited(A)).isFalse();
  }

  @Test
  void targetsThatAreColdAgainAreLimitedAgain() {
    configure();
    register(target(A, FRAGILE, 2_000));
    clock.advance(5_000);
    register(target(A, FRAGILE, 2_000));
    assertThat(isLimited(A)).isTrue();
  }

  /** The registry tells only later that they are cold. */
  @Test
  void targetsCountAsColdAfterAnEvacuation() {
    configure();
    register(target(A, FRAGILE, 0));
    UpperTime now = clock.upper();
    Evacuations evacuated = Evacuations.NONE.with(Set.of(HERE), now, clock.nowMs());
    state.update(snapshot -> snapshot.withEvacuations(evacuated));
    clock.advance(10_000);
    Evacuations ended = evacuated.with(Set.of(), now, clock.nowMs());
    state.update(snapshot -> snapshot.withEvacuations(ended));
    assertThat(isLimited(A)).isTrue();
    clock.advance(WARM_UP_MS);
    assertThat(isLimited(A)).isFalse();
    register(target(A, FRAGILE, 0), target(B, FRAGILE, 0));
    assertThat(isLimited(A)).isFalse();
  }
}
