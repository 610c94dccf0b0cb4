package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseManager;
import io.cuminvalve.core.lease.LeaseOrder;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.lease.OwnershipRecord;
import io.cuminvalve.core.lease.OwnershipTable;
import io.cuminvalve.core.lease.TargetAddress;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RemainingLease;
import io.cuminvalve.core.protocol.RemainingLeases;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetBackoffsReport;
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.reach.ReachSignals;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.ServiceProfile;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Coordinates the fleet while this process holds the term: follows the registry of targets, assigns
 * keys to targets and renews their leases.
 *
 * <p>One object serves one term. It takes no action before it has read what earlier holders wrote
 * to the store and has written that itself, which fences off their later writes. All methods run on
 * the control thread.
 *
 * @since 0.2
 */
final class TermCoordinator {

  /** Receives what has to be sent to the other gateways. */
  interface Listener {

    /** Handles a new list of targets. */
    void onTargets(long term, long version, List<FleetTarget> targets);

    /** Handles new owners of key ranges. */
    void onRoutes(long term, long version, List<ServiceRanges> services);
  }

  private static final long CYCLE_MS = 50;

  /**
   * Number of low bits of a token that count the grants of one term. Each grant uses one token; at
   * 200 grants per second, the highest rate, they last for 23 hours. Then the term ends, and the
   * next term has as many.
   */
  private static final int TOKEN_BITS = 24;

  private static final long MAX_TOKENS = (1L << TOKEN_BITS) - 1_000_000;

  /**
   * Minimum interval between two publications of owners, per gateway in the fleet: each gateway is
   * sent its own copy.
   */
  private static final double PUBLISH_MS_PER_GATEWAY = 0.5;

  /**
   * Maximum time for which a write that only removes previous owners is delayed, so that it can
   * join a write that is needed anyway.
   */
  private static final long CLEANUP_DELAY_MS = 2_000;

  private final GatewayPorts ports;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final LeaseTimings timings;
  private final long term;
  private final TermLease termLease;
  private final Listener listener;
  private final boolean storeRestored;
  private final Function<TargetId, OptionalDouble> limits;
  private final RestingTargets restingTargets;
  private final RegistryFollower follower;
  private final OwnershipStore ownership;
  private final OrderSender sender;
  private final long startedMs;
  private final Map<ServiceId, ServicePlanner> planners = new LinkedHashMap<>();
  private final Map<TargetId, String> lastAddresses = new HashMap<>();
  private final Map<TargetId, Long> firstSeen = new HashMap<>();
  private final Set<TargetId> ended = ConcurrentHashMap.newKeySet();
  private long listings;
  private Map<ServiceId, OwnershipTable> stored = Map.of();
  private long storedTerm;
  private boolean storedMayBeStale;
  private long idleUntilMs = Long.MIN_VALUE;
  private Optional<Runnable> onRewritten = Optional.empty();
  private Optional<RemainingLeases> foreignLeases = Optional.empty();
  private long foreignLeasesAtMs;
  private boolean ready;
  private long tokenCount;
  private long routesVersion;
  private long routesPublishedMs;
  private boolean publishPending;
  private boolean cyclePending;
  private long cleanupSinceMs;
  private Optional<UpperTime> staleSince = Optional.empty();
  private Future<?> cycleTimer;

  TermCoordinator(
      GatewayPorts ports,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      RecordCodec codec,
      LeaseTimings timings,
      long term,
      TermLease termLease,
      Listener listener,
      boolean storeRestored,
      Function<TargetId, OptionalDouble> limits,
      Consumer<TargetId> onLeaving,
      ReachSignals reach) {
    this.ports = ports;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.timings = timings;
    this.term = term;
    this.termLease = termLease;
    this.listener = listener;
    this.storeRestored = storeRestored;
    this.limits = limits;
    this.restingTargets = new RestingTargets(clock, () -> state.current().processes());
    this.startedMs = clock.nowMs();
    this.follower =
        new RegistryFollower(
            ports.registry(),
            control,
            clock,
            log,
            List.copyOf(state.current().targets()),
            state.targetsConfirmed(),
            this::onTargets);
    this.ownership = new OwnershipStore(ports.store(), control, log, codec, term);
    this.sender =
        new OrderSender(
            ports.leases(),
            new CurrentState(),
            control,
            clock,
            log,
            this::lastAddressOf,
            this::onReplacedTarget,
            onLeaving,
            reach,
            this::scheduleCycle);
  }

  void start() {
    state.current().targets().forEach(t -> lastAddresses.put(t.id(), t.address()));
    follower.start();
    ownership.read(this::onOwnership);
    cycleTimer = control.scheduleRepeatedly(this::runCycle, CYCLE_MS);
  }

  void close() {
    follower.close();
    ownership.close();
    sender.close();
    cycleTimer.cancel(false);
  }

  long term() {
    return term;
  }

  /** Returns the time since the store last confirmed the term; milliseconds. */
  long termAgeMs() {
    return clock.upper().sinceMs(termLease.confirmed());
  }

  UpperTime targetsConfirmed() {
    return follower.confirmed();
  }

  /** Returns whether the store does not answer the registry calls of this process. Thread-safe. */
  boolean isStoreSilent() {
    return follower.isSilent();
  }

  void onReport(PeerMessage report) {
    if (report instanceof KeyLoadReport load) {
      ServicePlanner service = planners.get(load.service());
      if (service != null) {
        service.onKeyLoad(load);
      }
    } else if (report instanceof TargetLatencyReport latencies) {
      latencies.latencies().forEach(this::onTargetLatency);
    } else if (report instanceof TargetReplaced replaced) {
      onReplacedTarget(replaced.target());
    } else if (report instanceof TargetBackoffsReport backoffs) {
      restingTargets.onReport(backoffs);
    }
  }

  /**
   * Handles a report that another target answers at the address of this one. Its keys move once a
   * release sent to that address has shown who holds them.
   */
  private void onReplacedTarget(TargetId id) {
    if (!ended.contains(id)) {
      markReplaced(id);
      onTargets();
    }
  }

  /** Returns all leases that may still be in force. */
  List<RemainingLease> remainingLeases() {
    List<RemainingLease> result = new ArrayList<>();
    long nowMs = clock.nowMs();
    planners
        .values()
        .forEach(service -> result.addAll(service.leaseManager().remainingLeases(nowMs)));
    return result;
  }

  /**
   * Takes the leases that an earlier holder granted. Only the list of the holder that wrote to the
   * store last is complete.
   *
   * @return whether the list comes from the last writer, as far as is known yet
   */
  boolean onRemainingLeases(RemainingLeases remaining, long receivedMs) {
    boolean newer = foreignLeases.isEmpty() || remaining.term() > foreignLeases.get().term();
    if (remaining.term() != 0 && remaining.term() < term && newer) {
      foreignLeases = Optional.of(remaining);
      foreignLeasesAtMs = receivedMs;
      planners.values().forEach(service -> limitForeignLeases(service.leaseManager()));
      runCycle();
    }
    return ready && foreignLeases.isPresent() && foreignLeases.get().term() == storedTerm;
  }

  private void limitForeignLeases(LeaseManager leaseManager) {
    foreignLeases
        .filter(remaining -> remaining.term() == storedTerm && !storedMayBeStale)
        .ifPresent(
            remaining -> {
              leaseManager.limitForeignLeases(remaining.leases(), foreignLeasesAtMs);
              log.write(
                  "foreign_leases_known", "of={} left={}", storedTerm, remaining.leases().size());
            });
  }

  private void markReplaced(TargetId id) {
    if (ended.add(id)) {
      log.write("target_replaced", "target={}", id);
      planners.values().forEach(service -> service.leaseManager().onGone(id));
      follower.forget(id);
    }
  }

  private void onTargetLatency(TargetLatency latency) {
    follower
        .register()
        .find(latency.target())
        .map(target -> planners.get(target.service()))
        .ifPresent(service -> service.onTargetLatency(latency));
  }

  private void onOwnership(Optional<OwnershipRecord> found) {
    Map<ServiceId, OwnershipTable> tables = new HashMap<>();
    found.ifPresent(record -> record.tables().forEach(t -> tables.put(t.service(), t)));
    found.ifPresent(record -> record.addresses().forEach(this::recordStoredAddress));
    stored = tables;
    storedTerm = found.map(OwnershipRecord::term).orElse(0L);
    storedMayBeStale = found.filter(ownership::isFromEpochBefore).isPresent();
    if (found.isEmpty() && storeRestored) {
      // A record may have been lost in the restore; its owners may still hold their leases.
      idleUntilMs = startedMs + timings.foreignLeaseMs();
    }
    planners.clear();
    ready = true;
    log.write(
        "owners_read",
        "term={} written_in_term={} services={} may_be_old={}",
        term,
        storedTerm,
        tables.size(),
        storedMayBeStale);
    runCycle();
  }

  /** Records a stored address unless the registry has supplied a newer one. */
  private void recordStoredAddress(TargetAddress stored) {
    lastAddresses.putIfAbsent(stored.target(), stored.address());
  }

  private Optional<String> lastAddressOf(TargetId id) {
    return Optional.ofNullable(lastAddresses.get(id));
  }

  /** Handles targets that have announced their departure, whatever the registry says. */
  void onDepartures() {
    onTargets();
  }

  private void markLeaving() {
    for (TargetId id : state.current().leaving()) {
      follower.register().find(id).ifPresent(known -> follower.register().put(known.leaving()));
    }
  }

  private void onTargets() {
    markLeaving();
    recordFirstSeen();
    for (TargetId id : replacedTargets()) {
      markReplaced(id);
    }
    List<FleetTarget> targets = follower.register().all();
    targets.forEach(target -> lastAddresses.put(target.id(), target.address()));
    targets.forEach(this::recordRestart);
    state.update(snapshot -> snapshot.withTargets(targets));
    if (follower.isListed()) {
      state.confirmTargets(follower.confirmed());
      listener.onTargets(term, follower.register().version(), targets);
    }
    runCycle();
  }

  private void recordRestart(FleetTarget target) {
    ServicePlanner service = planners.get(target.service());
    if (service != null && service.leaseManager().onRestarted(target.id())) {
      log.write("target_restarted", "target={} service={}", target.id(), target.service());
    }
  }

  private void recordFirstSeen() {
    listings++;
    for (FleetTarget target : follower.register().all()) {
      firstSeen.putIfAbsent(target.id(), listings);
    }
  }

  /**
   * Returns targets that have ended, since another one was registered at their address later.
   *
   * <p>If both were first seen in the same listing, neither is returned: the order in which they
   * were registered is unknown.
   */
  private Set<TargetId> replacedTargets() {
    Set<TargetId> replaced = new HashSet<>();
    Map<String, FleetTarget> newest = new HashMap<>();
    for (FleetTarget target : follower.register().all()) {
      FleetTarget other = newest.putIfAbsent(target.address(), target);
      if (other != null) {
        long seen = firstSeen.get(target.id());
        long otherSeen = firstSeen.get(other.id());
        if (seen > otherSeen) {
          replaced.add(other.id());
          newest.put(target.address(), target);
        } else if (seen < otherSeen) {
          replaced.add(target.id());
        }
      }
    }
    return replaced;
  }

  /**
   * Schedules one cycle for all answers that arrive until it runs. A cycle visits every range, so
   * one cycle per answer would delay the answers behind it when there are many ranges.
   */
  private void scheduleCycle() {
    if (!cyclePending) {
      cyclePending = true;
      control.execute(this::runCycle);
    }
  }

  private void runCycle() {
    cyclePending = false;
    if (!ready || !follower.isListed() || !termLease.isConfirmedSinceResume()) {
      return;
    }
    if (tokenCount > MAX_TOKENS) {
      termLease.relinquish("tokens_used_up");
      return;
    }
    long nowMs = clock.nowMs();
    if (nowMs < idleUntilMs) {
      return;
    }
    state.current().configuration().ifPresent(this::addServices);
    boolean outage = termLease.isOutage();
    boolean storeAnswers = !outage && !ownership.isWriting();
    for (ServicePlanner service : planners.values()) {
      service.plan(
          follower.register(),
          state.current().evacuations(),
          state.current().processes(),
          storeAnswers,
          nowMs);
    }
    planners.values().forEach(service -> service.leaseManager().setOutage(outage));
    renewStaleTokens();
    writeIfNeeded(nowMs);
    for (ServicePlanner service : planners.values()) {
      for (LeaseOrder order : service.leaseManager().due(nowMs, sender::tryReserve)) {
        sender.send(service.leaseManager(), order);
      }
    }
    if (planners.values().stream().anyMatch(ServicePlanner::routesChanged)) {
      publishRoutesThrottled(nowMs);
    }
  }

  private void publishRoutesThrottled(long nowMs) {
    long intervalMs = (long) (state.current().processes() * PUBLISH_MS_PER_GATEWAY);
    long waitMs = routesPublishedMs + intervalMs - nowMs;
    if (waitMs <= 0) {
      routesPublishedMs = nowMs;
      publishRoutes();
    } else if (!publishPending) {
      publishPending = true;
      control.schedule(this::onPublishDue, waitMs);
    }
  }

  private void onPublishDue() {
    publishPending = false;
    runCycle();
  }

  private void addServices(RoutingConfiguration configuration) {
    for (ServiceProfile profile : configuration.services().values()) {
      if (profile.keyed() && !planners.containsKey(profile.id())) {
        planners.put(profile.id(), newPlanner(profile.id()));
      }
    }
  }

  private ServicePlanner newPlanner(ServiceId id) {
    LeaseManager leaseManager = new LeaseManager(id, timings, this::nextToken);
    OwnershipTable table = stored.get(id);
    if (table != null && !table.assignments().isEmpty()) {
      leaseManager.takeOver(table, clock.nowMs(), startedMs + timings.foreignLeaseMs());
      if (storedMayBeStale) {
        // Later moves may have been lost in the restore, so the recorded owners may be outdated.
        leaseManager.assumeUnknownOwners(startedMs + timings.foreignLeaseMs());
      } else {
        limitForeignLeases(leaseManager);
      }
      follower.register().of(id).forEach(target -> leaseManager.onRestarted(target.id()));
      log.write("keys_taken_over", "service={} ranges={}", id, leaseManager.rangeCount());
    }
    return new ServicePlanner(
        id, leaseManager, log, limits, restingTargets::isResting, clock.nowMs());
  }

  private long nextToken() {
    tokenCount++;
    return (term << TOKEN_BITS) + tokenCount;
  }

  /**
   * Renews tokens that a target rejected as stale. The target may have seen a later term, so the
   * store has to confirm this term first.
   */
  private void renewStaleTokens() {
    boolean stale = planners.values().stream().anyMatch(s -> s.leaseManager().hasStaleTokens());
    if (!stale) {
      staleSince = Optional.empty();
      return;
    }
    if (staleSince.isEmpty()) {
      staleSince = Optional.of(clock.upper());
      log.write("token_stale", "term={}", term);
      termLease.confirm();
    } else if (termLease.confirmed().compareTo(staleSince.get()) >= 0) {
      staleSince = Optional.empty();
      planners.values().forEach(service -> service.leaseManager().renewTokens());
    }
  }

  private void writeIfNeeded(long nowMs) {
    boolean urgent =
        planners.values().stream().anyMatch(service -> service.leaseManager().needsWrite());
    boolean cleanup =
        planners.values().stream().anyMatch(service -> service.leaseManager().isCleanupPending());
    cleanupSinceMs = cleanup ? Math.min(cleanupSinceMs, nowMs) : Long.MAX_VALUE;
    boolean due = urgent || nowMs - cleanupSinceMs > CLEANUP_DELAY_MS || onRewritten.isPresent();
    if (!due || ownership.isWriting()) {
      return;
    }
    final Optional<Runnable> afterwards = onRewritten;
    Map<ServiceId, OwnershipTable> tables = new LinkedHashMap<>(stored);
    Map<ServiceId, Long> versions = new HashMap<>();
    planners.forEach(
        (id, service) -> {
          if (service.leaseManager().isPartitioned()) {
            tables.put(id, service.leaseManager().table(nowMs));
          }
          versions.put(id, service.leaseManager().version());
        });
    ownership.write(
        List.copyOf(tables.values()),
        this::lastAddressOf,
        () -> onWritten(versions, afterwards),
        this::onConflict);
  }

  private void onWritten(Map<ServiceId, Long> versions, Optional<Runnable> afterwards) {
    versions.forEach((id, version) -> planners.get(id).leaseManager().onWritten(version));
    if (afterwards.isPresent()) {
      onRewritten = Optional.empty();
      afterwards.get().run();
    } else {
      runCycle();
    }
  }

  /**
   * Writes the ownership tables again after the store was restored from an older copy, before
   * another process reads them. A write that was in progress may have been lost in the restore too.
   *
   * @param onDone called once the tables are durable, or at once if this process does not know the
   *     owners either
   */
  void rewrite(Runnable onDone) {
    if (!ready || storedMayBeStale || planners.isEmpty()) {
      onDone.run();
    } else {
      onRewritten = Optional.of(onDone);
      runCycle();
    }
  }

  /**
   * Handles a record that another process wrote: a later holder, or an earlier one after this
   * process had read the store.
   */
  private void onConflict(Optional<OwnershipRecord> found) {
    long other = found.map(OwnershipRecord::term).orElse(0L);
    log.write("owners_overtaken", "term={} by_term={}", term, other);
    if (other > term) {
      ready = false;
      termLease.confirm();
    } else {
      onOwnership(found);
    }
  }

  private void publishRoutes() {
    List<ServiceRanges> services = new ArrayList<>();
    planners.forEach(
        (id, service) -> {
          if (service.leaseManager().isPartitioned()) {
            services.add(new ServiceRanges(id, service.routes()));
          }
        });
    routesVersion++;
    listener.onRoutes(term, routesVersion, services);
  }

  /** Supplies the state that is checked right before the first byte of an order is sent. */
  private final class CurrentState implements HolderState {

    @Override
    public UpperTime termConfirmed() {
      return termLease.confirmed();
    }

    @Override
    public long termMaxAgeMs() {
      return timings.holderGraceMs();
    }

    @Override
    public boolean hasEnded(TargetId target) {
      return ended.contains(target);
    }
  }
}
