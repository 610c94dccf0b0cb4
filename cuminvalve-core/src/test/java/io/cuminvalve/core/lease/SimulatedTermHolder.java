package io.cuminvalve.core.lease;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A simulated term holder with a {@link LeaseManager} for each service. It learns of targets from
 * the registry with a delay and sends orders to the registered addresses.
 */
final class SimulatedTermHolder {

  static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);

  private final VirtualTime time;
  private final SimulatedFleet fleet;
  private final SimulatedNetwork network;
  private final SimulatedStore store;
  private final Map<ServiceId, LeaseManager> managers = new LinkedHashMap<>();
  private final Set<TargetId> reportedTerminated = new HashSet<>();
  private final Set<SimulatedTarget> answeredBy = new HashSet<>();
  private final Map<TargetId, String> storedAddresses = new HashMap<>();
  private final long term;
  private final long startedMs;
  private final long registryLagMs;
  private final long predecessorTerm;
  private final boolean storedMayBeOld;
  private long revision;
  private long epoch;
  private Optional<Runnable> onRewritten = Optional.empty();
  private long idleUntilMs;
  private boolean hasWritten;
  private boolean writing;
  private boolean stopped;
  private boolean storeReachable = true;
  private final HostClock clock;
  private Optional<UpperTime> termLostAt = Optional.empty();
  private boolean confirmed = true;
  private boolean keepsRunningWhenStale;
  private boolean movesOnlyIfNeeded;
  private long tokenCount;
  private String unreachable = "";
  private long reachableAtMs;

  SimulatedTermHolder(
      long term,
      VirtualTime time,
      SimulatedFleet fleet,
      SimulatedNetwork network,
      SimulatedStore store,
      boolean waitsForLostWrites) {
    this.term = term;
    this.time = time;
    this.fleet = fleet;
    this.network = network;
    this.store = store;
    clock = new HostClock(time);
    startedMs = clock.nowMs();
    registryLagMs = time.nextMs(0, 1_000);
    revision = store.revision();
    predecessorTerm = store.stored().term();
    for (ServiceId service : SimulatedFleet.SERVICES) {
      managers.put(service, new LeaseManager(service, TIMINGS, () -> (term << 20) + ++tokenCount));
    }
    long foreignUntilMs = startedMs + TIMINGS.foreignLeaseMs();
    store
        .stored()
        .addresses()
        .forEach(known -> storedAddresses.put(known.target(), known.address()));
    store
        .stored()
        .tables()
        .forEach(t -> managers.get(t.service()).takeOver(t, startedMs, foreignUntilMs));
    epoch = store.epoch();
    storedMayBeOld = store.stored().storeEpoch() < epoch;
    if (storedMayBeOld && waitsForLostWrites) {
      managers.values().forEach(manager -> manager.assumeUnknownOwners(foreignUntilMs));
      // The rollback may have lost the only record.
      idleUntilMs = store.stored().tables().isEmpty() ? foreignUntilMs : 0;
    }
  }

  /**
   * Handles a rollback of the store: writes the assignments again, then gives up the term and
   * acquires a new one, unless another term holder has replaced this one by then.
   */
  void onStoreRolledBack(Runnable onDone) {
    if (isReplaced()) {
      stopped = true;
    } else if (!stopped && storeReachable && !storedMayBeOld) {
      onRewritten =
          Optional.of(
              () -> {
                stopped = true;
                if (!isReplaced()) {
                  onDone.run();
                }
              });
    }
  }

  /** Makes one target unreachable for a random time; the predecessor may still reach it. */
  void blockPathToAnyTarget(long maxMs) {
    unreachable = fleet.anyRunning().map(SimulatedTarget::address).orElse("");
    reachableAtMs = time.nowMs() + time.nextMs(0, maxMs);
  }

  /** Makes a target unreachable from this term holder until a given time. */
  void blockPathTo(SimulatedTarget target, long untilMs) {
    unreachable = target.address();
    reachableAtMs = untilMs;
  }

  /** Stops the predecessor, which reports the leases that may still be in force. */
  void requestLeasesOfPredecessor(SimulatedTermHolder predecessor) {
    predecessor.stopped = true;
    if (predecessor.term == predecessorTerm && !storedMayBeOld) {
      managers.forEach(
          (service, manager) ->
              manager.limitForeignLeases(
                  predecessor.managers.get(service).remainingLeases(predecessor.clock.nowMs()),
                  clock.nowMs()));
    }
  }

  /** Loses the term to another term holder; the store may be unreachable and so not report it. */
  void loseTerm(boolean unreachableStore) {
    storeReachable = !unreachableStore;
    termLostAt = Optional.of(clock.upper());
  }

  /** Makes this term holder continue after stale tokens while the store does not answer. */
  void keepRunningWhenStale() {
    keepsRunningWhenStale = true;
  }

  /** Makes this term holder move keys only if it has to, so that the record stays as it is. */
  void moveOnlyIfNeeded() {
    movesOnlyIfNeeded = true;
  }

  /** Handles a notice that another run answers at the address of a target. */
  void onGone(TargetId id) {
    reportedTerminated.add(id);
    managers.values().forEach(manager -> manager.onGone(id));
  }

  /** Handles the same notice from the answer to an order: the target stays registered for now. */
  void onOtherTarget(TargetId id) {
    managers.values().forEach(manager -> manager.onGone(id));
  }

  /** Returns whether it has stopped, even if no other term holder has replaced it. */
  boolean isStopped() {
    return stopped;
  }

  void step() {
    if (stopped || clock.isSuspended()) {
      return;
    }
    if (clock.takeClockGain()) {
      confirmed = false;
      confirm();
    }
    if (!confirmed || isGraceOver() || clock.nowMs() < idleUntilMs) {
      return;
    }
    managers.forEach(this::planMoves);
    write();
    for (LeaseManager manager : managers.values()) {
      manager.due(clock.nowMs(), target -> true).forEach(order -> send(manager, order));
    }
    boolean stale = managers.values().stream().anyMatch(LeaseManager::hasStaleTokens);
    stopped |= stale && (storeReachable || !keepsRunningWhenStale);
  }

  private boolean isGraceOver() {
    return termLostAt.filter(at -> clock.upper().sinceMs(at) > TIMINGS.holderGraceMs()).isPresent();
  }

  /** Asks the store whether it still holds the term, since its host may have been suspended. */
  private void confirm() {
    if (!storeReachable) {
      return;
    }
    time.schedule(
        time.nextMs(1, 60),
        () ->
            clock.runWhenAwake(
                () -> {
                  stopped |= isReplaced();
                  confirmed = true;
                }));
  }

  HostClock clock() {
    return clock;
  }

  private void planMoves(ServiceId service, LeaseManager manager) {
    // With reused names, orders may reach a new run only while there is no other term holder.
    boolean unconfirmed = fleet.reusesNames() && termLostAt.isPresent();
    manager.setOutage(!storeReachable || unconfirmed);
    List<SimulatedTarget> usable = usable(service);
    if (usable.isEmpty()) {
      return;
    }
    if (!manager.isPartitioned()) {
      manager.partition(usable.stream().map(SimulatedTermHolder::listed).toList());
    }
    usable.forEach(run -> manager.onRestarted(run.id()));
    Set<TargetId> ids = usable.stream().map(SimulatedTarget::id).collect(Collectors.toSet());
    manager
        .rangesWithUnusableOwner(ids::contains)
        .forEach(keys -> moveToRandomTarget(manager, keys, usable));
    if (!movesOnlyIfNeeded && time.oneIn(20)) {
      moveToRandomTarget(manager, keysOf(time.nextInt(SimulatedTarget.SAMPLES)), usable);
    }
    if (time.oneIn(40)) {
      manager.mergeAdjacentRanges(clock.nowMs());
    }
  }

  /** Moves up to two sampled ranges of a run to other runs. */
  void moveFrom(SimulatedTarget run) {
    List<SimulatedTarget> others = new ArrayList<>(usable(run.service()));
    others.remove(run);
    if (stopped || others.isEmpty()) {
      return;
    }
    for (int moved = 0, sample = 0; sample < SimulatedTarget.SAMPLES && moved < 2; sample++) {
      if (run.holds(sample, time.nowMs())) {
        moveToRandomTarget(managers.get(run.service()), keysOf(sample), others);
        moved++;
      }
    }
  }

  private static KeyRange keysOf(int sample) {
    int first = sample * SimulatedTarget.STEP;
    return new KeyRange(first, first + SimulatedTarget.STEP - 1);
  }

  private void moveToRandomTarget(
      LeaseManager manager, KeyRange keys, List<SimulatedTarget> usable) {
    manager.move(keys, usable.get(time.nextInt(usable.size())).id(), clock.nowMs());
  }

  /** Returns the targets that this term holder regards as able to own keys. */
  private List<SimulatedTarget> usable(ServiceId service) {
    long seenMs = time.nowMs() - registryLagMs;
    List<SimulatedTarget> usable = new ArrayList<>();
    for (SimulatedTarget run : fleet.runs()) {
      if (run.service().equals(service)
          && run.isListed(seenMs, seenMs)
          && !reportedTerminated.contains(run.id())) {
        usable.add(run);
      }
    }
    return usable;
  }

  private static FleetTarget listed(SimulatedTarget run) {
    return new FleetTarget(
        run.id(), run.service(), run.address(), new DataCentreId("zone"), 4, TargetPhase.READY, 0);
  }

  private void write() {
    boolean needsWrite =
        managers.values().stream()
            .anyMatch(manager -> manager.needsWrite() || manager.isCleanupPending());
    if (writing || !(needsWrite || onRewritten.isPresent()) || !storeReachable) {
      return;
    }
    if (epoch != store.epoch()) {
      reload();
      return;
    }
    writing = true;
    Map<LeaseManager, Long> versions = new LinkedHashMap<>();
    managers.values().forEach(manager -> versions.put(manager, manager.version()));
    OwnershipRecord next =
        OwnershipRecord.of(
            term,
            managers.values().stream()
                .filter(LeaseManager::isPartitioned)
                .map(manager -> manager.table(clock.nowMs()))
                .toList(),
            this::addressOf,
            epoch);
    final long expected = revision;
    final Optional<Runnable> afterwards = onRewritten;
    time.schedule(
        time.nextMs(0, 30),
        () -> {
          writing = false;
          if (!store.replace(expected, next)) {
            reload();
            return;
          }
          hasWritten = true;
          revision = store.revision();
          time.schedule(
              time.nextMs(0, 30), () -> clock.runWhenAwake(() -> onWritten(versions, afterwards)));
        });
  }

  private void onWritten(Map<LeaseManager, Long> versions, Optional<Runnable> afterwards) {
    versions.forEach(LeaseManager::onWritten);
    if (!stopped) {
      afterwards.ifPresent(Runnable::run);
    }
  }

  /**
   * Returns whether most gateways follow another term holder, whatever a rolled-back store says.
   */
  private boolean isReplaced() {
    return termLostAt.isPresent();
  }

  /** Handles a failed write: another term holder has written, or the store was rolled back. */
  private void reload() {
    boolean rolledBack = epoch != store.epoch();
    // Before its first write, others may have written records that this term holder has not read.
    if (!rolledBack
        || !hasWritten
        || isReplaced()
        || store.stored().term() > term
        || storedMayBeOld) {
      stopped = true;
      return;
    }
    epoch = store.epoch();
    revision = store.revision();
  }

  private void send(LeaseManager manager, LeaseOrder order) {
    long sentMs = clock.nowMs();
    SimulatedTarget named = fleet.run(order.target());
    boolean cut = named.address().equals(unreachable) && time.nowMs() < reachableAtMs;
    Optional<String> address = addressOf(order.target());
    if (cut || address.isEmpty()) {
      time.schedule(time.nextMs(1, 60), () -> end(manager, order, OrderOutcome.NOT_SENT, sentMs));
      return;
    }
    if (order.knownConnectionOnly() && !isConnected(address)) {
      time.schedule(1, () -> end(manager, order, OrderOutcome.NOT_SENT, sentMs));
      return;
    }
    Optional<SimulatedTarget> reached = fleet.runAt(address.get());
    network.send(
        order,
        address.get(),
        outcome -> {
          reached.filter(run -> outcome == OrderOutcome.DONE).ifPresent(answeredBy::add);
          end(manager, order, outcome, sentMs);
        });
  }

  /** Returns whether the run now at the address has answered; connections end with their run. */
  private boolean isConnected(Optional<String> address) {
    return !fleet.reusesNames()
        || address.flatMap(fleet::runAt).filter(answeredBy::contains).isPresent();
  }

  /** Returns the address of a target that was registered or that an earlier term holder stored. */
  private Optional<String> addressOf(TargetId id) {
    SimulatedTarget named = fleet.run(id);
    boolean seen =
        named != null && named.isListed(startedMs - registryLagMs, time.nowMs() - registryLagMs);
    return seen ? Optional.of(named.address()) : Optional.ofNullable(storedAddresses.get(id));
  }

  private void end(LeaseManager manager, LeaseOrder order, OrderOutcome outcome, long sentMs) {
    clock.runWhenAwake(() -> handleEnd(manager, order, outcome, sentMs));
  }

  private void handleEnd(
      LeaseManager manager, LeaseOrder order, OrderOutcome outcome, long sentMs) {
    if (order instanceof LeaseOrder.Grant grant) {
      manager.onGrantEnded(grant, outcome, sentMs, clock.nowMs());
    } else if (order instanceof LeaseOrder.Release release) {
      manager.onReleaseEnded(release, outcome, Optional.empty(), clock.nowMs());
    }
  }
}
