package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseDesk;
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
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.protocol.TargetRestsReport;
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
 * What the holder of the term does: follows the targets, assigns keys, keeps the leases going.
 *
 * <p>One object for one term. It acts on nothing before it has read what earlier holders wrote and
 * has written that itself, so that they can write no more. All methods are for the control thread.
 *
 * @since 0.2
 */
final class HolderDuties {

  /** Tells the gateways of the fleet. */
  interface Audience {

    /** The targets changed. */
    void onTargets(long term, long version, List<FleetTarget> targets);

    /** The owners changed. */
    void onRoutes(long term, long version, List<ServiceRanges> services);
  }

  private static final long TICK_MS = 50;

  /**
   * Room for tokens within one term: each grant takes one, at most 200 a second, which lasts for 23
   * hours; then the term ends, and the next one has as much room.
   */
  private static final int TOKEN_BITS = 24;

  private static final long MOST_TOKENS = (1L << TOKEN_BITS) - 1_000_000;

  /**
   * Pause between two changes of owners that are told, for each gateway: each gets its own copy.
   */
  private static final double TELL_MS_PER_GATEWAY = 0.5;

  /** A record of proofs may wait this long for a write that is needed anyway. */
  private static final long CLEANUP_MS = 2_000;

  private final GatewayPorts ports;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final LeaseTimings timings;
  private final long term;
  private final TermLease termLease;
  private final Audience audience;
  private final boolean storeCameBack;
  private final Function<TargetId, OptionalDouble> limits;
  private final RestingOwners resting;
  private final RegistryFollower follower;
  private final OwnershipStore ownership;
  private final OrderSender sender;
  private final long startedMs;
  private final Map<ServiceId, ServiceDuties> duties = new LinkedHashMap<>();
  private final Map<TargetId, String> lastAddresses = new HashMap<>();
  private final Map<TargetId, Long> firstSeen = new HashMap<>();
  private final Set<TargetId> ended = ConcurrentHashMap.newKeySet();
  private long listings;
  private Map<ServiceId, OwnershipTable> stored = Map.of();
  private long storedTerm;
  private boolean storedMayBeOld;
  private long idleUntilMs = Long.MIN_VALUE;
  private Optional<Runnable> onRewritten = Optional.empty();
  private Optional<RemainingLeases> foreignLeases = Optional.empty();
  private long foreignToldMs;
  private boolean ready;
  private long tokenCount;
  private long routesVersion;
  private long routesToldMs;
  private boolean tellPending;
  private boolean actPending;
  private long cleanupSinceMs;
  private Optional<UpperTime> staleSince = Optional.empty();
  private Future<?> ticking;

  HolderDuties(
      GatewayPorts ports,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      RecordCodec codec,
      LeaseTimings timings,
      long term,
      TermLease termLease,
      Audience audience,
      boolean storeCameBack,
      Function<TargetId, OptionalDouble> limits,
      Consumer<TargetId> onLeaving) {
    this.ports = ports;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.timings = timings;
    this.term = term;
    this.termLease = termLease;
    this.audience = audience;
    this.storeCameBack = storeCameBack;
    this.limits = limits;
    this.resting = new RestingOwners(clock, () -> state.current().processes());
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
            new Knowledge(),
            control,
            clock,
            log,
            this::lastAddressOf,
            this::onReplacedTarget,
            onLeaving,
            this::actSoon);
  }

  void start() {
    state.current().targets().forEach(t -> lastAddresses.put(t.id(), t.address()));
    follower.start();
    ownership.read(this::onOwnership);
    ticking = control.scheduleRepeatedly(this::act, TICK_MS);
  }

  void close() {
    follower.close();
    ownership.close();
    sender.close();
    ticking.cancel(false);
  }

  long term() {
    return term;
  }

  /** Returns how long ago the store last confirmed the term; milliseconds. */
  long termAgeMs() {
    return clock.upper().sinceMs(termLease.confirmed());
  }

  UpperTime targetsConfirmed() {
    return follower.confirmed();
  }

  /** Tells whether the store leaves the holder without an answer. For any thread. */
  boolean isStoreSilent() {
    return follower.isSilent();
  }

  void onReport(PeerMessage report) {
    if (report instanceof KeyLoadReport work) {
      ServiceDuties service = duties.get(work.service());
      if (service != null) {
        service.onKeyWork(work);
      }
    } else if (report instanceof TargetLatencyReport times) {
      times.times().forEach(this::onTargetTime);
    } else if (report instanceof TargetReplaced replaced) {
      onReplacedTarget(replaced.target());
    } else if (report instanceof TargetRestsReport rests) {
      resting.onReport(rests);
    }
  }

  /**
   * Another target is said to answer at the address of this one: its keys move away, once a release
   * that is sent there has shown who holds them.
   */
  private void onReplacedTarget(TargetId id) {
    if (!ended.contains(id)) {
      onReplaced(id);
      onTargets();
    }
  }

  /** Returns every lease that may still be in force. */
  List<RemainingLease> leasesLeft() {
    List<RemainingLease> result = new ArrayList<>();
    long nowMs = clock.nowMs();
    duties.values().forEach(service -> result.addAll(service.desk().leasesLeft(nowMs)));
    return result;
  }

  /**
   * Learns what an earlier holder granted. Only the one that wrote last knows everything.
   *
   * @return whether it is the one that wrote last, as far as is known yet
   */
  boolean onLeasesLeft(RemainingLeases left, long toldMs) {
    boolean newer = foreignLeases.isEmpty() || left.term() > foreignLeases.get().term();
    if (left.term() != 0 && left.term() < term && newer) {
      foreignLeases = Optional.of(left);
      foreignToldMs = toldMs;
      duties.values().forEach(service -> limitForeignLeases(service.desk()));
      act();
    }
    return ready && foreignLeases.isPresent() && foreignLeases.get().term() == storedTerm;
  }

  private void limitForeignLeases(LeaseDesk desk) {
    foreignLeases
        .filter(left -> left.term() == storedTerm && !storedMayBeOld)
        .ifPresent(
            left -> {
              desk.limitForeignLeases(left.leases(), foreignToldMs);
              log.write("foreign_leases_known", "of={} left={}", storedTerm, left.leases().size());
            });
  }

  private void onReplaced(TargetId id) {
    if (ended.add(id)) {
      log.write("target_replaced", "target={}", id);
      duties.values().forEach(service -> service.desk().onGone(id));
      follower.forget(id);
    }
  }

  private void onTargetTime(TargetLatency time) {
    follower
        .register()
        .find(time.target())
        .map(target -> duties.get(target.service()))
        .ifPresent(service -> service.onTargetTime(time));
  }

  private void onOwnership(Optional<OwnershipRecord> found) {
    Map<ServiceId, OwnershipTable> tables = new HashMap<>();
    found.ifPresent(record -> record.tables().forEach(t -> tables.put(t.service(), t)));
    found.ifPresent(record -> record.addresses().forEach(this::noteStoredAddress));
    stored = tables;
    storedTerm = found.map(OwnershipRecord::term).orElse(0L);
    storedMayBeOld = found.filter(ownership::isFromEpochBefore).isPresent();
    if (found.isEmpty() && storeCameBack) {
      // There may have been a record, with owners that still hold their keys.
      idleUntilMs = startedMs + timings.foreignLeaseMs();
    }
    duties.clear();
    ready = true;
    log.write(
        "owners_read",
        "term={} written_in_term={} services={} may_be_old={}",
        term,
        storedTerm,
        tables.size(),
        storedMayBeOld);
    act();
  }

  /** What the registry says is newer than what an earlier holder wrote. */
  private void noteStoredAddress(TargetAddress stored) {
    lastAddresses.putIfAbsent(stored.target(), stored.address());
  }

  private Optional<String> lastAddressOf(TargetId id) {
    return Optional.ofNullable(lastAddresses.get(id));
  }

  /** Some targets have said that they leave, whatever is registered. */
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
    noteFirstSeen();
    for (TargetId id : replacedTargets()) {
      onReplaced(id);
    }
    List<FleetTarget> targets = follower.register().all();
    targets.forEach(target -> lastAddresses.put(target.id(), target.address()));
    targets.forEach(this::noteRestart);
    state.update(snapshot -> snapshot.withTargets(targets));
    if (follower.isListed()) {
      state.confirmTargets(follower.confirmed());
      audience.onTargets(term, follower.register().version(), targets);
    }
    act();
  }

  private void noteRestart(FleetTarget target) {
    ServiceDuties service = duties.get(target.service());
    if (service != null && service.desk().onRestarted(target.id())) {
      log.write("target_restarted", "target={} service={}", target.id(), target.service());
    }
  }

  private void noteFirstSeen() {
    listings++;
    for (FleetTarget target : follower.register().all()) {
      firstSeen.putIfAbsent(target.id(), listings);
    }
  }

  /**
   * Finds targets that have ended: another one was registered at their address later.
   *
   * <p>Two that were seen for the first time together tell nothing: either may be the older one.
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
   * Acts once for all answers that have arrived by then: each look at all ranges takes the longer
   * the more there are, and so do the answers that wait meanwhile.
   */
  private void actSoon() {
    if (!actPending) {
      actPending = true;
      control.execute(this::act);
    }
  }

  private void act() {
    actPending = false;
    if (!ready || !follower.isListed() || !termLease.isConfirmedSinceWaking()) {
      return;
    }
    if (tokenCount > MOST_TOKENS) {
      termLease.renounce("tokens_used_up");
      return;
    }
    long nowMs = clock.nowMs();
    if (nowMs < idleUntilMs) {
      return;
    }
    state.current().configuration().ifPresent(this::addServices);
    boolean outage = termLease.isOutage();
    boolean storeAnswers = !outage && !ownership.isWriting();
    for (ServiceDuties service : duties.values()) {
      service.plan(follower.register(), state.current().processes(), storeAnswers, nowMs);
    }
    duties.values().forEach(service -> service.desk().setOutage(outage));
    renewStaleTokens();
    writeIfNeeded(nowMs);
    for (ServiceDuties service : duties.values()) {
      for (LeaseOrder order : service.desk().due(nowMs, sender::mayAsk)) {
        sender.send(service.desk(), order);
      }
    }
    if (duties.values().stream().anyMatch(ServiceDuties::routesChanged)) {
      tellRoutesAtPace(nowMs);
    }
  }

  private void tellRoutesAtPace(long nowMs) {
    long paceMs = (long) (state.current().processes() * TELL_MS_PER_GATEWAY);
    long waitMs = routesToldMs + paceMs - nowMs;
    if (waitMs <= 0) {
      routesToldMs = nowMs;
      tellRoutes();
    } else if (!tellPending) {
      tellPending = true;
      control.schedule(this::onTellDue, waitMs);
    }
  }

  private void onTellDue() {
    tellPending = false;
    act();
  }

  private void addServices(RoutingConfiguration configuration) {
    for (ServiceProfile profile : configuration.services().values()) {
      if (profile.keyed() && !duties.containsKey(profile.id())) {
        duties.put(profile.id(), newDuties(profile.id()));
      }
    }
  }

  private ServiceDuties newDuties(ServiceId id) {
    LeaseDesk desk = new LeaseDesk(id, timings, this::nextToken);
    OwnershipTable table = stored.get(id);
    if (table != null && !table.assignments().isEmpty()) {
      desk.takeOver(table, clock.nowMs(), startedMs + timings.foreignLeaseMs());
      if (storedMayBeOld) {
        // Moves that were written later are lost: the owners named here prove nothing.
        desk.assumeUnknownOwners(startedMs + timings.foreignLeaseMs());
      } else {
        limitForeignLeases(desk);
      }
      follower.register().of(id).forEach(target -> desk.onRestarted(target.id()));
      log.write("keys_taken_over", "service={} ranges={}", id, desk.rangeCount());
    }
    return new ServiceDuties(id, desk, log, limits, resting::isResting, clock.nowMs());
  }

  private long nextToken() {
    tokenCount++;
    return (term << TOKEN_BITS) + tokenCount;
  }

  /** A target that knows a higher token may know a higher term: ask before going on. */
  private void renewStaleTokens() {
    boolean stale = duties.values().stream().anyMatch(s -> s.desk().hasStaleTokens());
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
      duties.values().forEach(service -> service.desk().renewTokens());
    }
  }

  private void writeIfNeeded(long nowMs) {
    boolean urgent = duties.values().stream().anyMatch(service -> service.desk().needsWrite());
    boolean cleanup =
        duties.values().stream().anyMatch(service -> service.desk().isCleanupPending());
    cleanupSinceMs = cleanup ? Math.min(cleanupSinceMs, nowMs) : Long.MAX_VALUE;
    boolean due = urgent || nowMs - cleanupSinceMs > CLEANUP_MS || onRewritten.isPresent();
    if (!due || ownership.isWriting()) {
      return;
    }
    final Optional<Runnable> afterwards = onRewritten;
    Map<ServiceId, OwnershipTable> tables = new LinkedHashMap<>(stored);
    Map<ServiceId, Long> versions = new HashMap<>();
    duties.forEach(
        (id, service) -> {
          if (service.desk().isPartitioned()) {
            tables.put(id, service.desk().table(nowMs));
          }
          versions.put(id, service.desk().version());
        });
    ownership.write(
        List.copyOf(tables.values()),
        this::lastAddressOf,
        () -> onWritten(versions, afterwards),
        this::onOvertaken);
  }

  private void onWritten(Map<ServiceId, Long> versions, Optional<Runnable> afterwards) {
    versions.forEach((id, version) -> duties.get(id).desk().onWritten(version));
    if (afterwards.isPresent()) {
      onRewritten = Optional.empty();
      afterwards.get().run();
    } else {
      act();
    }
  }

  /**
   * The store came back from an older copy: writes who owns what once more, before anybody else
   * reads it. What was being written may be lost with the rest.
   *
   * @param onDone called once it is durable, or at once if this process does not know either
   */
  void rewrite(Runnable onDone) {
    if (!ready || storedMayBeOld || duties.isEmpty()) {
      onDone.run();
    } else {
      onRewritten = Optional.of(onDone);
      act();
    }
  }

  /** Somebody else wrote: a later holder, or an earlier one after this one had read. */
  private void onOvertaken(Optional<OwnershipRecord> found) {
    long other = found.map(OwnershipRecord::term).orElse(0L);
    log.write("owners_overtaken", "term={} by_term={}", term, other);
    if (other > term) {
      ready = false;
      termLease.confirm();
    } else {
      onOwnership(found);
    }
  }

  private void tellRoutes() {
    List<ServiceRanges> services = new ArrayList<>();
    duties.forEach(
        (id, service) -> {
          if (service.desk().isPartitioned()) {
            services.add(new ServiceRanges(id, service.routes()));
          }
        });
    routesVersion++;
    audience.onRoutes(term, routesVersion, services);
  }

  /** What may forbid an order when its first byte is due. */
  private final class Knowledge implements OrderKnowledge {

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
