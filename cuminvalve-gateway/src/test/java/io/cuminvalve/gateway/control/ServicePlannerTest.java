package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.fleet.TargetRegister;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseManager;
import io.cuminvalve.core.lease.LeaseOrder;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.lease.OrderOutcome;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks uneven load and leaving targets, with and without answers of the store. */
class ServicePlannerTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);
  private static final long SETTLED_MS = 10_000;
  private static final int BUSY_KEYS = 40;
  private static final int WORK_MS = 300;
  private static final int LITTLE_WORK_MS = 20;

  private final TargetRegister register = new TargetRegister();
  private final Map<TargetId, OptionalDouble> limits = new HashMap<>();
  private final Set<TargetId> resting = new HashSet<>();
  private long tokens;
  private final LeaseManager leaseManager = new LeaseManager(SERVICE, TIMINGS, () -> ++tokens);
  private final ServicePlanner planner =
      new ServicePlanner(
          SERVICE,
          leaseManager,
          new DecisionLog(() -> 0, 100, line -> {}),
          id -> limits.getOrDefault(id, OptionalDouble.empty()),
          resting::contains,
          0);

  @BeforeEach
  void assignKeys() {
    register.put(target("a", TargetPhase.READY));
    register.put(target("b", TargetPhase.READY));
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS);
    leaseManager.onWritten(leaseManager.version());
    for (LeaseOrder order : leaseManager.due(SETTLED_MS, target -> true)) {
      leaseManager.onGrantEnded(
          (LeaseOrder.Grant) order, OrderOutcome.DONE, SETTLED_MS, SETTLED_MS);
    }
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS);
  }

  /** Reports load on the first keys, all of which have one owner. */
  private void onWork(int workMs) {
    int[] keys = IntStream.range(0, BUSY_KEYS).toArray();
    int[] work = IntStream.range(0, BUSY_KEYS).map(key -> workMs).toArray();
    planner.onKeyLoad(new KeyLoadReport(SERVICE, keys, work, BUSY_KEYS));
  }

  @Test
  void unevenLoadIsEvenedOut() {
    onWork(WORK_MS);
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isTrue();
  }

  /** A move closes its keys until it is written, which may last as long as the store outage. */
  @Test
  void unevenLoadIsLeftAloneWhileTheStoreDoesNotAnswer() {
    onWork(WORK_MS);
    planner.plan(register, Evacuations.NONE, 3, false, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isFalse();
    assertThat(leaseManager.routes().stream().allMatch(route -> route.open())).isTrue();
  }

  /** The slots of the owner are nearly idle, but it accepts 2 requests a second and is sent 20. */
  @Test
  void ownersWithLimitsAreRelieved() {
    onWork(LITTLE_WORK_MS);
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isFalse();
    limits.put(ownerOf(0), OptionalDouble.of(2));
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 500);
    assertThat(leaseManager.needsWrite()).isTrue();
    assertThat(ownersOfBusyKeys()).hasSize(2);
  }

  /** The slots of the owner are nearly idle, since no gateway sends it anything. */
  @Test
  void ownersThatHaveAskedAllGatewaysForBackoffLoseTheirKeys() {
    onWork(LITTLE_WORK_MS);
    final TargetId owner = ownerOf(0);
    resting.add(owner);
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isTrue();
    assertThat(ownersOfBusyKeys()).doesNotContain(owner);
  }

  @Test
  void ownersThatBackOffKeepTheirKeysWhileNoMoveCanBeWritten() {
    onWork(LITTLE_WORK_MS);
    resting.add(ownerOf(0));
    planner.plan(register, Evacuations.NONE, 3, false, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isFalse();
  }

  /** The service is overloaded then: moves would only shift keys back and forth. */
  @Test
  void ownersKeepTheirKeysIfMostOfThemBackOff() {
    onWork(LITTLE_WORK_MS);
    resting.add(new TargetId("a"));
    resting.add(new TargetId("b"));
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isFalse();
  }

  @Test
  void targetsWithLimitsGetFewerKeysOfThoseThatLeave() {
    register.put(target("c", TargetPhase.READY));
    onWork(WORK_MS);
    limits.put(new TargetId("c"), OptionalDouble.of(0.1));
    register.put(target(ownerOf(0).value(), TargetPhase.DRAINING));
    planner.plan(register, Evacuations.NONE, 3, true, SETTLED_MS + 250);
    assertThat(ownersOfBusyKeys()).doesNotContain(new TargetId("c"));
  }

  private TargetId ownerOf(int key) {
    return leaseManager.routes().stream()
        .filter(route -> route.firstKey() <= key && key <= route.lastKey())
        .findFirst()
        .orElseThrow()
        .owner();
  }

  private Set<TargetId> ownersOfBusyKeys() {
    return IntStream.range(0, BUSY_KEYS).mapToObj(this::ownerOf).collect(Collectors.toSet());
  }

  @Test
  void keysOfTargetsThatLeaveAreMovedInAnyCase() {
    register.put(target("a", TargetPhase.DRAINING));
    planner.plan(register, Evacuations.NONE, 3, false, SETTLED_MS + 250);
    assertThat(leaseManager.needsWrite()).isTrue();
  }

  private static FleetTarget target(String id, TargetPhase phase) {
    return new FleetTarget(
        new TargetId(id), SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, phase, 0);
  }
}
