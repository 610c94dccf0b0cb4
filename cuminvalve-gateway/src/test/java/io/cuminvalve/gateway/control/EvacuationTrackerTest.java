package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class EvacuationTrackerTest {

  private static final DataCentreId A = new DataCentreId("a");
  private static final DataCentreId B = new DataCentreId("b");

  private static final FleetTarget OWNER =
      new FleetTarget(
          new TargetId("one"), new ServiceId("s"), "10.0.0.1:80", A, 1, TargetPhase.READY, 0);

  private final VirtualClock clock = new VirtualClock(1_000);
  private final RoutingState state = new RoutingState(1);
  private final EvacuationTracker tracker =
      new EvacuationTracker(
          EvacuationTrackerTest::decode,
          state,
          new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock)),
          clock,
          new DecisionLog(clock, 100, line -> {}));

  @Test
  void changesAreAppliedInTheOrderOfTheirRevisions() {
    tracker.onValue(value("a", 5));
    tracker.onValue(value("a b", 9));
    tracker.onValue(value("", 7));
    assertThat(evacuated()).containsExactly(A, B);
    tracker.onValue(value("b", 10));
    assertThat(evacuated()).containsExactly(B);
  }

  /** The evacuation may have begun right after the state was last confirmed, unnoticed since. */
  @Test
  void theGraceCountsFromTheLastConfirmation() {
    state.setEvacuationGraceMs(2_000);
    state.watch(() -> clock.upper().minusMs(1_500), () -> 1_000, () -> false);
    tracker.onValue(value("a", 5));
    assertThat(state.isDataCentreOpen(OWNER, true, () -> clock.upper().plusMs(500))).isTrue();
    assertThat(state.isDataCentreOpen(OWNER, true, () -> clock.upper().plusMs(501))).isFalse();
    assertThat(state.isDataCentreOpen(OWNER, false, () -> clock.upper())).isFalse();
  }

  /** A process that has just started does not know for how long a data centre is evacuated. */
  @Test
  void startedProcessesGrantNoGrace() {
    state.setEvacuationGraceMs(2_000);
    tracker.onValue(value("a", 5));
    assertThat(state.isDataCentreOpen(OWNER, true, () -> clock.upper())).isFalse();
  }

  @Test
  void unreadableValuesChangeNothing() {
    tracker.onValue(value("a", 5));
    tracker.onValue(value("?", 6));
    assertThat(evacuated()).containsExactly(A);
  }

  /** The older copy lacks the evacuation, and the operator has not written it again yet. */
  @Test
  void evacuationsOutliveRestoredStoresForWhile() {
    tracker.onValue(value("a", 5));
    tracker.onStoreRestored();
    tracker.onValue(value("", 6));
    clock.advance(EvacuationTracker.KEPT_AFTER_RESTORE_MS - 1);
    assertThat(evacuated()).containsExactly(A);
    clock.advance(1);
    assertThat(evacuated()).isEmpty();
  }

  @Test
  void evacuationsWrittenAgainAfterRestoreStay() {
    tracker.onValue(value("a", 5));
    tracker.onStoreRestored();
    tracker.onValue(value("", 6));
    tracker.onValue(value("a", 7));
    clock.advance(2 * EvacuationTracker.KEPT_AFTER_RESTORE_MS);
    assertThat(evacuated()).containsExactly(A);
  }

  private Set<DataCentreId> evacuated() {
    return state.current().evacuations().dataCentres();
  }

  private static StoreValue value(String names, long revision) {
    return new StoreValue(names.getBytes(StandardCharsets.UTF_8), revision);
  }

  private static Set<DataCentreId> decode(byte[] bytes) {
    String names = new String(bytes, StandardCharsets.UTF_8);
    if (names.equals("?")) {
      throw new CodedException(ErrorCode.INVALID_INPUT, "not readable");
    }
    Set<DataCentreId> decoded = new TreeSet<>();
    for (String name : names.split(" ")) {
      if (!name.isEmpty()) {
        decoded.add(new DataCentreId(name));
      }
    }
    return decoded;
  }
}
