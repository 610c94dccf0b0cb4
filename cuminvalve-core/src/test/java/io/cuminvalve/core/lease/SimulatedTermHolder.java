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
 * A holder of the term with a manager for each service. It knows targets by the registry, whose
 * list it sees late, and sends orders to the addresses that it has seen there.
 */
final class SimulatedTermHolder {

  static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);

  private final VirtualTime time;
  private final SimulatedFleet fleet;
  private final SimulatedNetwork network;
  private final SimulatedStore store;
  private final Map<ServiceId, LeaseManager> managers = new LinkedHashMap<>();
  private final Set<TargetId> gone = new HashSet<>();
  private final Set<SimulatedTarget> answeredBy = new HashSet<>();
  private final Map<TargetId, String> storedAddresses = new HashMap<>();
  private final long term;
  private final long startedMs;
  private final long registryLagMs;
  private final long takenOverFrom;
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
    takenOverFrom = store.stored().term();
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
      // There may have been a record, although there is none.
      idleUntilMs = store.stored().tables().isEmpty() ? foreignUntilMs : 0;
    }
  }

  /**
   * The store came back older: writes what this holder knows again, then gives its term up and
   * takes it anew, unless another one has it by then.
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

  /** The path to one target is cut for a while; that of the holder before need not be. */
  void blockPathToAnyTarget(long longestMs) {
    unreachable = fleet.anyRunning().map(SimulatedTarget::address).orElse("");
    reachableAtMs = time.nowMs() + time.nextMs(0, longestMs);
  }

  /** The path to this target is cut until then. */
  void blockPathTo(SimulatedTarget target, long untilMs) {
    unreachable = target.address();
    reachableAtMs = untilMs;
  }

  /** The holder before stops and tells which leases may still be in force. */
  void askPredecessor(SimulatedTermHolder predecessor) {
    predecessor.stopped = true;
    if (predecessor.term == takenOverFrom && !storedMayBeOld) {
      managers.forEach(
          (service, manager) ->
              manager.limitForeignLeases(
                  predecessor.managers.get(service).leasesLeft(predecessor.clock.nowMs()),
                  clock.nowMs()));
    }
  }

  /** Another holder has the term; this one may or may not learn it from the store. */
  void loseTerm(boolean unreachableStore) {
    storeReachable = !unreachableStore;
    termLostAt = Optional.of(clock.upper());
  }

  /** A holder that meets higher tokens asks the store first: without an answer it goes on. */
  void keepRunningWhenStale() {
    keepsRunningWhenStale = true;
  }

  /** Learns that another run answers at the address of a target. */
  void onGone(TargetId id) {
    gone.add(id);
    managers.values().forEach(manager -> manager.onGone(id));
  }

  /** Learns the same from the answer to an order: the target stays listed for now. */
  void onOtherTarget(TargetId id) {
    managers.values().forEach(manager -> manager.onGone(id));
  }

  /** Tells whether it gave up, be it that the term is still its own. */
  boolean isStopped() {
    return stopped;
  }

  void step() {
    if (stopped || clock.isAsleep()) {
      return;
    }
    if (clock.takeClockGain()) {
      confirmed = false;
      confirm();
    }
    if (!confirmed || isGraceOver() || clock.nowMs() < idleUntilMs) {
      return;
    }
    managers.forEach(this::decide);
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

  /** Asks the store whether the term is still its own, as it may have slept. */
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

  private void decide(ServiceId service, LeaseManager manager) {
    // Who may take a name over has to know: no other holder is there while the term is confirmed.
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
    if (time.oneIn(20)) {
      moveToRandomTarget(manager, keysOf(time.nextInt(SimulatedTarget.SAMPLES)), usable);
    }
    if (time.oneIn(40)) {
      manager.mergeAdjacentRanges(clock.nowMs());
    }
  }

  /** Gives up to two of the keys that a run has to others. */
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

  /** Returns the targets that may own keys, as far as this holder knows. */
  private List<SimulatedTarget> usable(ServiceId service) {
    long seenMs = time.nowMs() - registryLagMs;
    List<SimulatedTarget> usable = new ArrayList<>();
    for (SimulatedTarget run : fleet.runs()) {
      if (run.service().equals(service)
          && run.isListed(seenMs, seenMs)
          && !gone.contains(run.id())) {
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

  /** Most gateways follow another holder by then, whatever the older store says of the term. */
  private boolean isReplaced() {
    return termLostAt.isPresent();
  }

  /** Somebody else has written, or the store came back older and lacks what this holder wrote. */
  private void reload() {
    boolean cameBack = epoch != store.epoch();
    // Before its first write, others may have written what it has not read.
    if (!cameBack
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

  /** Connections end with the run that they lead to. */
  private boolean isConnected(Optional<String> address) {
    return !fleet.reusesNames()
        || address.flatMap(fleet::runAt).filter(answeredBy::contains).isPresent();
  }

  /** Knows a target that it has seen listed, or whose address an earlier holder wrote. */
  private Optional<String> addressOf(TargetId id) {
    SimulatedTarget named = fleet.run(id);
    boolean seen =
        named != null && named.isListed(startedMs - registryLagMs, time.nowMs() - registryLagMs);
    return seen ? Optional.of(named.address()) : Optional.ofNullable(storedAddresses.get(id));
  }

  private void end(LeaseManager manager, LeaseOrder order, OrderOutcome outcome, long sentMs) {
    clock.runWhenAwake(() -> noteEnd(manager, order, outcome, sentMs));
  }

  private void noteEnd(LeaseManager manager, LeaseOrder order, OrderOutcome outcome, long sentMs) {
    if (order instanceof LeaseOrder.Grant grant) {
      manager.onGrantEnded(grant, outcome, sentMs, clock.nowMs());
    } else if (order instanceof LeaseOrder.Release release) {
      manager.onReleaseEnded(release, outcome, Optional.empty(), clock.nowMs());
    }
  }
}
