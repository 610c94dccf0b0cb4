package io.cuminvalve.gateway.control;

import io.cuminvalve.core.balance.BalancerSettings;
import io.cuminvalve.core.balance.EvacuationPace;
import io.cuminvalve.core.balance.HotKeyPlacement;
import io.cuminvalve.core.balance.KeyLoads;
import io.cuminvalve.core.balance.MovePlanner;
import io.cuminvalve.core.balance.OverloadPolicy;
import io.cuminvalve.core.balance.RangeBalancer;
import io.cuminvalve.core.balance.RangeDefragmenter;
import io.cuminvalve.core.balance.RangeMove;
import io.cuminvalve.core.balance.RelativeLatencies;
import io.cuminvalve.core.balance.TargetLoad;
import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetRegister;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import io.cuminvalve.core.lease.LeaseManager;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Plans which target owns which keys of one service.
 *
 * <p>Keys of targets that leave, or that have asked gateways to back off, are redistributed at
 * once. Other load is rebalanced at intervals. All methods run on the control thread.
 */
final class ServicePlanner {

  /**
   * The first assignment waits until the number of targets has not changed for this long, since
   * targets register one after the other.
   */
  private static final long SETTLE_MS = 2_000;

  /** Upper bound on that wait: no request of the service is served before the first assignment. */
  private static final long MAX_SETTLE_MS = 6_000;

  /** Interval between two rebalancing runs. */
  private static final long BALANCE_INTERVAL_MS = 250;

  /**
   * Interval between two searches for fragmented ranges, and so the minimum time for which a new
   * fragment is left in place.
   */
  private static final long DEFRAGMENT_INTERVAL_MS = 500;

  /**
   * Time constant of the decay of load measurements; short, since hot keys come and go within
   * seconds.
   */
  private static final double LOAD_TIME_CONSTANT_MS = 2_000;

  /** Share of busy slots above which requests often wait in the queue of a target. */
  private static final double BUSY_SHARE = 0.7;

  /** Maximum number of parts into which a range of a leaving target is split. */
  private static final int MAX_PARTS = 4;

  /**
   * Ranges with fewer keys and at most {@link #HEAVY_LOAD} are not split, since each part is a
   * lease.
   */
  private static final int WIDE_RANGE_KEYS = 1_024;

  private static final double HEAVY_LOAD = 0.4;

  /** Requests that a target accepts at the same time per slot, including those in its queue. */
  private static final int QUEUED_PER_SLOT = 5;

  private final ServiceId service;
  private final LeaseManager leaseManager;
  private final DecisionLog log;
  private final KeyLoads loads;
  private final RelativeLatencies relativeLatencies = new RelativeLatencies();
  private final Predicate<TargetId> isResting;
  private final RateLimitCapacity capacity;
  private final Set<TargetId> busyTargets = new HashSet<>();
  private final RangeDefragmenter defragmenter = new RangeDefragmenter();
  private final EvacuationPace evacuationPace = new EvacuationPace();
  private final OverloadPolicy overloadPolicy = new OverloadPolicy();
  private final MovePlanner planner =
      new MovePlanner(new HotKeyPlacement(), new RangeBalancer(BalancerSettings.DEFAULT));
  private final long startedMs;
  private Map<KeyRange, Integer> refusedPercent = Map.of();
  private boolean refusalsChanged;
  private int lastTargetCount;
  private long targetsChangedMs;
  private long balancedMs;
  private long defragmentedMs;

  ServicePlanner(
      ServiceId service,
      LeaseManager leaseManager,
      DecisionLog log,
      Function<TargetId, OptionalDouble> limits,
      Predicate<TargetId> isResting,
      long nowMs) {
    this.service = service;
    this.leaseManager = leaseManager;
    this.log = log;
    this.loads = new KeyLoads(LOAD_TIME_CONSTANT_MS, nowMs);
    this.isResting = isResting;
    this.capacity = new RateLimitCapacity(limits);
    this.startedMs = nowMs;
    this.targetsChangedMs = nowMs;
    this.balancedMs = nowMs;
    this.defragmentedMs = nowMs;
  }

  LeaseManager leaseManager() {
    return leaseManager;
  }

  /** Returns whether {@link #routes()} has changed since it was last called. */
  boolean routesChanged() {
    return refusalsChanged || leaseManager.routesChanged();
  }

  /** Returns the current routes and marks them as published. */
  List<RangeRoute> routes() {
    refusalsChanged = false;
    return leaseManager.routes(range -> refusedPercent.getOrDefault(range, 0));
  }

  void onKeyLoad(KeyLoadReport report) {
    capacity.onWork(report.workMs(), report.requests());
    int count = Math.min(report.keys().length, report.workMs().length);
    for (int i = 0; i < count; i++) {
      int key = report.keys()[i];
      if (KeyRange.ALL.contains(key)) {
        loads.add(key, report.workMs()[i]);
      }
    }
  }

  /**
   * Takes response times of a target. Times of a busy target are ignored, since they reflect its
   * queue rather than its speed.
   */
  void onTargetLatency(TargetLatency latency) {
    if (!busyTargets.contains(latency.target())) {
      relativeLatencies.onAnswers(
          latency.target(), latency.meanRelativeLatency(), latency.answers());
    }
  }

  /**
   * Decides which keys have to be moved.
   *
   * @param evacuations data centres whose targets may own no keys, unless there are no others
   * @param storeAnswers whether a move can be written now. Its keys stay closed until it is
   *     written, so moves that only balance load wait until the store answers; during a store
   *     outage of 8 s this avoids a tenth of all refusals
   */
  void plan(
      TargetRegister register,
      Evacuations evacuations,
      int gateways,
      boolean storeAnswers,
      long nowMs) {
    List<FleetTarget> ready = new ArrayList<>(register.of(service));
    ready.removeIf(target -> !target.isReady());
    final Set<TargetId> evacuated = removeEvacuated(ready, evacuations);
    if (ready.size() != lastTargetCount) {
      lastTargetCount = ready.size();
      targetsChangedMs = nowMs;
    }
    if (ready.isEmpty()) {
      return;
    }
    if (!leaseManager.isPartitioned()) {
      partition(ready, nowMs);
      return;
    }
    List<FleetTarget> usable = storeAnswers ? withoutResting(ready) : ready;
    moveAwayFrom(evacuated, usable, storeAnswers, nowMs);
    if (nowMs - balancedMs >= BALANCE_INTERVAL_MS) {
      balancedMs = nowMs;
      loads.decay(nowMs);
      leaseManager.mergeAdjacentRanges(nowMs);
      List<TargetLoad> targets = targetLoads(usable, nowMs);
      if (storeAnswers) {
        balance(targets, nowMs);
      }
      refuseExcess(targets, gateways);
    }
  }

  /**
   * Sets the share of requests to refuse per range. This is needed only if there are more gateways
   * than a target queues requests; in smaller fleets the local limit of each gateway protects the
   * targets without any report.
   */
  private void refuseExcess(List<TargetLoad> targets, int gateways) {
    int mostSlots = targets.stream().mapToInt(TargetLoad::slots).max().orElse(0);
    boolean large = gateways > mostSlots * QUEUED_PER_SLOT;
    Map<KeyRange, Integer> next = large ? overloadPolicy.refusedPercent(targets, loads) : Map.of();
    if (!next.equals(refusedPercent)) {
      refusedPercent = next;
      refusalsChanged = true;
    }
  }

  private void partition(List<FleetTarget> ready, long nowMs) {
    boolean settled = nowMs - targetsChangedMs >= SETTLE_MS;
    if (settled || nowMs - startedMs >= MAX_SETTLE_MS) {
      leaseManager.partition(ready);
      log.write("keys_partitioned", "service={} targets={}", service, ready.size());
    }
  }

  /**
   * Removes targets that requested a back-off: requests for their keys are refused until the keys
   * move. If more than half of the targets did so, the whole service is overloaded and moving keys
   * would not help, so all targets are kept.
   */
  private List<FleetTarget> withoutResting(List<FleetTarget> ready) {
    List<FleetTarget> reachable =
        ready.stream().filter(target -> !isResting.test(target.id())).toList();
    return 2 * reachable.size() >= ready.size() ? reachable : ready;
  }

  private static Set<TargetId> removeEvacuated(List<FleetTarget> ready, Evacuations evacuations) {
    Set<TargetId> evacuated = new HashSet<>();
    for (FleetTarget target : ready) {
      if (evacuations.includes(target.dataCentre())) {
        evacuated.add(target.id());
      }
    }
    ready.removeIf(target -> evacuated.contains(target.id()));
    return evacuated;
  }

  /**
   * Moves the keys of targets that leave or have left at once, and those of targets in evacuated
   * data centres over a short time, during which these still serve them.
   */
  private void moveAwayFrom(
      Set<TargetId> evacuated, List<FleetTarget> usable, boolean storeAnswers, long nowMs) {
    Set<TargetId> owners = new HashSet<>(evacuated);
    usable.forEach(target -> owners.add(target.id()));
    evacuate(leaseManager.rangesWithUnusableOwner(owners::contains), usable, nowMs);
    if (storeAnswers) {
      List<KeyRange> left = leaseManager.rangesWithUnusableOwner(id -> !evacuated.contains(id));
      evacuate(evacuationPace.due(left, loads, nowMs), usable, nowMs);
    }
  }

  /** Moves keys to the least loaded targets. */
  private void evacuate(List<KeyRange> orphaned, List<FleetTarget> ready, long nowMs) {
    if (orphaned.isEmpty()) {
      return;
    }
    List<TargetLoad> targets = targetLoads(ready, nowMs);
    Map<TargetId, Double> loadByTarget = new HashMap<>();
    targets.forEach(target -> loadByTarget.put(target.id(), target.busySlots(loads)));
    for (KeyRange range : orphaned) {
      for (KeyRange part : parts(range, ready.size())) {
        TargetId least = leastLoadedWith(loads.of(part), targets, loadByTarget);
        leaseManager.move(part, least, nowMs);
        loadByTarget.merge(least, loads.of(part), Double::sum);
        log.write("keys_evacuated", "service={} keys={} to={}", service, part, least);
      }
    }
  }

  private static TargetId leastLoadedWith(
      double added, List<TargetLoad> targets, Map<TargetId, Double> loads) {
    return targets.stream()
        .min(
            Comparator.comparingDouble(
                target -> (loads.get(target.id()) + added) / target.capacity()))
        .orElseThrow()
        .id();
  }

  private List<KeyRange> parts(KeyRange range, int targets) {
    boolean large = range.size() >= WIDE_RANGE_KEYS || loads.of(range) > HEAVY_LOAD;
    int count = large ? Math.min(Math.min(MAX_PARTS, targets), range.size()) : 1;
    double share = loads.of(range) / count;
    List<KeyRange> parts = new ArrayList<>();
    int first = range.first();
    double sum = 0;
    for (int key = range.first(); key < range.last(); key++) {
      sum += loads.of(key);
      if (sum >= share && parts.size() < count - 1) {
        parts.add(new KeyRange(first, key));
        first = key + 1;
        sum = 0;
      }
    }
    parts.add(new KeyRange(first, range.last()));
    return parts;
  }

  private void balance(List<TargetLoad> targets, long nowMs) {
    updateBusyTargets(targets);
    List<RangeMove> moves = planner.plan(targets, loads, relativeLatencies);
    if (moves.isEmpty() && nowMs - defragmentedMs >= DEFRAGMENT_INTERVAL_MS) {
      defragmentedMs = nowMs;
      moves = defragmenter.plan(targets, loads, MovePlanner.maxMoves(targets.size()));
    }
    for (RangeMove move : moves) {
      leaseManager.move(move.keys(), move.to(), nowMs);
      log.write(
          "keys_moved",
          "service={} keys={} from={} to={} load={}",
          service,
          move.keys(),
          move.from(),
          move.to(),
          loads.of(move.keys()));
    }
  }

  private void updateBusyTargets(List<TargetLoad> targets) {
    busyTargets.clear();
    for (TargetLoad target : targets) {
      if (target.busySlots(loads) > BUSY_SHARE * target.slots()) {
        busyTargets.add(target.id());
      }
    }
  }

  private List<TargetLoad> targetLoads(List<FleetTarget> ready, long nowMs) {
    Map<TargetId, List<KeyRange>> settled = leaseManager.rangesByOwner(true, nowMs);
    Map<TargetId, List<KeyRange>> others = leaseManager.rangesByOwner(false, nowMs);
    List<TargetLoad> result = new ArrayList<>();
    for (FleetTarget target : ready) {
      result.add(
          new TargetLoad(
              target.id(),
              target.slots(),
              capacity.of(target),
              settled.getOrDefault(target.id(), List.of()),
              others.getOrDefault(target.id(), List.of())));
    }
    return result;
  }
}
