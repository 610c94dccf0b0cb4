package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.store.StoreValue;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Keeps the evacuated data centres of the routing state up to date.
 *
 * <p>They are part of what operators write, like the configuration, and reach a gateway in the same
 * way. All methods run on the control thread.
 */
final class EvacuationTracker {

  /**
   * How long evacuations that a restored store no longer lists stay in force. Operators write again
   * what the store has lost, and until then requests must not return to the data centre.
   */
  static final long KEPT_AFTER_RESTORE_MS = 5_000;

  private static final String CHANGE = "data_centre={} revision={} targets={}";

  private final Function<byte[], Set<DataCentreId>> decoder;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private Set<DataCentreId> listed = Set.of();
  private long revision;
  private long keepUntilMs = Long.MIN_VALUE;

  EvacuationTracker(
      Function<byte[], Set<DataCentreId>> decoder,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log) {
    this.decoder = decoder;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
  }

  /** Applies what operators have written, unless something newer is known. */
  void onValue(StoreValue value) {
    if (value.revision() < revision) {
      return;
    }
    revision = value.revision();
    try {
      listed = decoder.apply(value.value());
    } catch (CodedException malformed) {
      log.write(
          "evacuations_unreadable", "revision={} why=\"{}\"", revision, malformed.getMessage());
      return;
    }
    apply();
  }

  /** Keeps the known evacuations for a while, since the store may have lost their entries. */
  void onStoreRestored() {
    keepUntilMs = clock.nowMs() + KEPT_AFTER_RESTORE_MS;
    control.schedule(this::apply, KEPT_AFTER_RESTORE_MS);
  }

  private void apply() {
    Evacuations known = state.current().evacuations();
    Set<DataCentreId> next = new TreeSet<>(listed);
    if (clock.nowMs() < keepUntilMs) {
      next.addAll(known.dataCentres());
    }
    if (next.equals(known.dataCentres())) {
      return;
    }
    // The value that is applied here has not been confirmed yet, so this is an earlier time.
    Evacuations applied = known.with(next, state.configurationConfirmed(), clock.nowMs());
    state.update(snapshot -> snapshot.withEvacuations(applied));
    for (DataCentreId id : difference(next, known.dataCentres())) {
      log.write("data_centre_evacuated", CHANGE, id, revision, targetsIn(id));
    }
    for (DataCentreId id : difference(known.dataCentres(), next)) {
      log.write("data_centre_returned", CHANGE, id, revision, targetsIn(id));
    }
  }

  private static Set<DataCentreId> difference(Set<DataCentreId> in, Set<DataCentreId> without) {
    Set<DataCentreId> difference = new HashSet<>(in);
    difference.removeAll(without);
    return difference;
  }

  private long targetsIn(DataCentreId id) {
    return state.current().targets().stream()
        .map(FleetTarget::dataCentre)
        .filter(id::equals)
        .count();
  }
}
