package io.cuminvalve.gateway.control;

import io.cuminvalve.core.balance.BalancerSettings;
import io.cuminvalve.core.balance.HotKeyPlacement;
import io.cuminvalve.core.balance.KeyLoads;
import io.cuminvalve.core.balance.MovePlanner;
import io.cuminvalve.core.balance.OverloadPolicy;
import io.cuminvalve.core.balance.RangeBalancer;
import io.cuminvalve.core.balance.RangeDefragmenter;
import io.cuminvalve.core.balance.RangeMove;
import io.cuminvalve.core.balance.RelativeLatencies;
import io.cuminvalve.core.balance.TargetLoad;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetRegister;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import io.cuminvalve.core.lease.LeaseDesk;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.TargetTime;
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
 * Decides for one service which target is to own which keys.
 *
 * <p>Keys of targets that leave, or rest, are spread at once; otherwise load is evened out at a
 * pace. All methods are for the control thread.
 */
final class ServiceDuties {

  /** Targets register one after the other: the first assignment waits for a pause this long. */
  private static final long SETTLE_MS = 2_000;

  /** It waits no longer than this; without it nothing is served. */
  private static final long LONGEST_SETTLE_MS = 6_000;

  /** Pause between two looks at the load. */
  private static final long BALANCE_MS = 250;

  /** Pause between two looks for fragments, and so the least time that one is left alone. */
  private static final long TIDY_MS = 500;

  /** A measurement counts for about this long: hot keys come and go within seconds. */
  private static final double LOAD_MEMORY_MS = 2_000;

  /** Share of busy slots from which on requests often wait in a target's queue. */
  private static final double BUSY_SHARE = 0.7;

  /** Into how many parts the keys of a target that leaves are cut at most. */
  private static final int SPREAD = 4;

  /** Narrower ranges with less load are given away whole: each part is a lease. */
  private static final int WIDE_KEYS = 1_024;

  private static final double HEAVY_LOAD = 0.4;

  /** Requests that a target takes at once for each of its slots, those in its queue included. */
  private static final int QUEUED_PER_SLOT = 5;

  private final ServiceId service;
  private final LeaseDesk desk;
  private final DecisionLog log;
  private final KeyLoads loads;
  private final RelativeLatencies speeds = new RelativeLatencies();
  private final Predicate<TargetId> resting;
  private final LimitCapacity capacity;
  private final Set<TargetId> busy = new HashSet<>();
  private final RangeDefragmenter tidier = new RangeDefragmenter();
  private final OverloadPolicy overload = new OverloadPolicy();
  private final MovePlanner planner =
      new MovePlanner(new HotKeyPlacement(), new RangeBalancer(BalancerSettings.DEFAULT));
  private final long startedMs;
  private Map<KeyRange, Integer> refusedPercent = Map.of();
  private boolean refusalsChanged;
  private int lastTargetCount;
  private long targetsChangedMs;
  private long balancedMs;
  private long tidiedMs;

  ServiceDuties(
      ServiceId service,
      LeaseDesk desk,
      DecisionLog log,
      Function<TargetId, OptionalDouble> limits,
      Predicate<TargetId> resting,
      long nowMs) {
    this.service = service;
    this.desk = desk;
    this.log = log;
    this.loads = new KeyLoads(LOAD_MEMORY_MS, nowMs);
    this.resting = resting;
    this.capacity = new LimitCapacity(limits);
    this.startedMs = nowMs;
    this.targetsChangedMs = nowMs;
    this.balancedMs = nowMs;
    this.tidiedMs = nowMs;
  }

  LeaseDesk desk() {
    return desk;
  }

  /** Tells whether gateways have to hear of {@link #routes()}. */
  boolean routesChanged() {
    return refusalsChanged || desk.routesChanged();
  }

  /** Returns where requests go now, and marks it as told. */
  List<RangeRoute> routes() {
    refusalsChanged = false;
    return desk.routes(range -> refusedPercent.getOrDefault(range, 0));
  }

  void onKeyWork(KeyLoadReport report) {
    capacity.onWork(report.workMs(), report.requests());
    int count = Math.min(report.keys().length, report.workMs().length);
    for (int i = 0; i < count; i++) {
      int key = report.keys()[i];
      if (KeyRange.ALL.contains(key)) {
        loads.add(key, report.workMs()[i]);
      }
    }
  }

  /** A busy target's times tell more of its queue than of its speed. */
  void onTargetTime(TargetTime time) {
    if (!busy.contains(time.target())) {
      speeds.onAnswers(time.target(), time.meanRelativeTime(), time.answers());
    }
  }

  /**
   * Decides what has to be moved.
   *
   * @param storeAnswers whether a move can be written now: until it is, its keys are closed. Moves
   *     that only even out load wait for that. On a day with the store away for 8 s, that spares
   *     callers a tenth of all refusals
   */
  void plan(TargetRegister register, int gateways, boolean storeAnswers, long nowMs) {
    List<FleetTarget> ready = new ArrayList<>(register.of(service));
    ready.removeIf(target -> !target.isReady());
    if (ready.size() != lastTargetCount) {
      lastTargetCount = ready.size();
      targetsChangedMs = nowMs;
    }
    if (ready.isEmpty()) {
      return;
    }
    if (!desk.isPartitioned()) {
      partition(ready, nowMs);
      return;
    }
    List<FleetTarget> usable = storeAnswers ? withoutResting(ready) : ready;
    evacuate(usable, nowMs);
    if (nowMs - balancedMs >= BALANCE_MS) {
      balancedMs = nowMs;
      loads.decay(nowMs);
      desk.joinNeighbours(nowMs);
      List<TargetLoad> targets = targetLoads(usable, nowMs);
      if (storeAnswers) {
        balance(targets, nowMs);
      }
      refuseExcess(targets, gateways);
    }
  }

  /** In a narrow fleet each gateway's own limit protects the targets, and needs no report. */
  private void refuseExcess(List<TargetLoad> targets, int gateways) {
    int mostSlots = targets.stream().mapToInt(TargetLoad::slots).max().orElse(0);
    boolean wide = gateways > mostSlots * QUEUED_PER_SLOT;
    Map<KeyRange, Integer> next = wide ? overload.refusedPercent(targets, loads) : Map.of();
    if (!next.equals(refusedPercent)) {
      refusedPercent = next;
      refusalsChanged = true;
    }
  }

  private void partition(List<FleetTarget> ready, long nowMs) {
    boolean settled = nowMs - targetsChangedMs >= SETTLE_MS;
    if (settled || nowMs - startedMs >= LONGEST_SETTLE_MS) {
      desk.partition(ready);
      log.write("keys_partitioned", "service={} targets={}", service, ready.size());
    }
  }

  /**
   * Leaves out targets that rest: their keys are refused until they move. If most targets rest,
   * there is too much load for the service, and no better place for keys.
   */
  private List<FleetTarget> withoutResting(List<FleetTarget> ready) {
    List<FleetTarget> reachable =
        ready.stream().filter(target -> !resting.test(target.id())).toList();
    return 2 * reachable.size() >= ready.size() ? reachable : ready;
  }

  /** Gives the keys of targets that leave, or have left, to the least busy of the others. */
  private void evacuate(List<FleetTarget> ready, long nowMs) {
    Set<TargetId> usable = new HashSet<>();
    ready.forEach(target -> usable.add(target.id()));
    List<KeyRange> homeless = desk.rangesOfOthers(usable::contains);
    if (homeless.isEmpty()) {
      return;
    }
    List<TargetLoad> targets = targetLoads(ready, nowMs);
    Map<TargetId, Double> loadByTarget = new HashMap<>();
    targets.forEach(target -> loadByTarget.put(target.id(), target.busySlots(loads)));
    for (KeyRange range : homeless) {
      for (KeyRange part : parts(range, ready.size())) {
        TargetId least = leastBusyWith(loads.of(part), targets, loadByTarget);
        desk.move(part, least, nowMs);
        loadByTarget.merge(least, loads.of(part), Double::sum);
        log.write("keys_evacuated", "service={} keys={} to={}", service, part, least);
      }
    }
  }

  private static TargetId leastBusyWith(
      double added, List<TargetLoad> targets, Map<TargetId, Double> loads) {
    return targets.stream()
        .min(
            Comparator.comparingDouble(
                target -> (loads.get(target.id()) + added) / target.capacity()))
        .orElseThrow()
        .id();
  }

  private List<KeyRange> parts(KeyRange range, int targets) {
    boolean wide = range.size() >= WIDE_KEYS || loads.of(range) > HEAVY_LOAD;
    int count = wide ? Math.min(Math.min(SPREAD, targets), range.size()) : 1;
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
    noteBusyTargets(targets);
    List<RangeMove> moves = planner.plan(targets, loads, speeds);
    if (moves.isEmpty() && nowMs - tidiedMs >= TIDY_MS) {
      tidiedMs = nowMs;
      moves = tidier.plan(targets, loads, MovePlanner.maxMoves(targets.size()));
    }
    for (RangeMove move : moves) {
      desk.move(move.keys(), move.to(), nowMs);
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

  private void noteBusyTargets(List<TargetLoad> targets) {
    busy.clear();
    for (TargetLoad target : targets) {
      if (target.busySlots(loads) > BUSY_SHARE * target.slots()) {
        busy.add(target.id());
      }
    }
  }

  private List<TargetLoad> targetLoads(List<FleetTarget> ready, long nowMs) {
    Map<TargetId, List<KeyRange>> settled = desk.rangesByOwner(true, nowMs);
    Map<TargetId, List<KeyRange>> others = desk.rangesByOwner(false, nowMs);
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
