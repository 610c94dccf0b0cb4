package io.cuminvalve.controller.operation;

import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.ChangeRecord;
import io.cuminvalve.config.admin.KeyReport;
import io.cuminvalve.config.admin.RouterStatus;
import io.cuminvalve.config.admin.TargetStatus;
import io.cuminvalve.controller.cell.CellRunner;
import io.cuminvalve.core.authority.CellStatus.MoveStatus;
import io.cuminvalve.core.authority.ControllerRole;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.ports.target.TargetHealth;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/**
 * Turns the state of a cell into what operators read. Runs on the control thread.
 *
 * @since 0.1
 */
final class CellReports {

  private static final DataCentreId UNKNOWN_DATA_CENTRE = new DataCentreId("unknown");
  private static final long MINUTE_MS = 60_000;
  private static final long NEVER_HEARD = -1;
  private static final String NOT_ASSIGNED = "UNASSIGNED";

  private final ControllerId controller;
  private final OperationRecorder recorder;
  private final LongSupplier monotonicMs;
  private final LongSupplier epochMs;

  CellReports(
      ControllerId controller,
      OperationRecorder recorder,
      LongSupplier monotonicMs,
      LongSupplier epochMs) {
    this.controller = controller;
    this.recorder = recorder;
    this.monotonicMs = monotonicMs;
    this.epochMs = epochMs;
  }

  CellStatus status(CellRunner runner, Optional<Configuration> configuration) {
    var status = runner.status();
    Optional<ShardTable> table = Optional.ofNullable(status.table());
    Map<TargetId, Instance> instances = instancesOf(runner, configuration);
    List<TargetStatus> targets = targets(runner, status.targets(), table, instances);
    boolean holding = status.role() == ControllerRole.HOLDER;
    return new CellStatus(
        runner.id(),
        holding,
        holding ? controller : runner.holderName().map(ControllerId::new).orElse(null),
        status.term(),
        status.issued().toString(),
        status.configRevision(),
        table.map(ShardTable::shardCount).orElse(0),
        status.movingShards() + table.map(CellReports::countOwnerless).orElse(0),
        status.movingShards(),
        imbalance(targets, instances),
        countRecent(status.lastMoves()),
        recorder.isStoreReachable(runner.id()),
        table.map(known -> routers(known, status.routers())).orElse(List.of()),
        targets);
  }

  KeyReport explain(CellRunner runner, String key) {
    var status = runner.status();
    ShardTable table = status.table();
    if (table == null) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE, "this controller has no table of " + runner.id());
    }
    int shard = KeyHasher.shardOf(key, table.shardCount());
    List<ChangeRecord> moves =
        moves(runner).stream().filter(move -> move.detail().startsWith(shardLabel(shard))).toList();
    return new KeyReport(
        runner.id(),
        key,
        Long.toHexString(KeyHasher.hash(key)),
        shard,
        target(table, table.owner(shard)),
        target(table, table.standby(shard)),
        target(table, table.previousOwner(shard)),
        table.token(shard),
        table.version().toString(),
        table.owner(shard) != ShardTable.NO_TARGET && !table.isMoving(shard),
        moves.isEmpty() ? "kept since before this controller took the term" : moves.get(0).reason(),
        moves);
  }

  /** The owner moves that the holder remembers, newest first. */
  List<ChangeRecord> moves(CellRunner runner) {
    long offsetMs = epochMs.getAsLong() - monotonicMs.getAsLong();
    List<ChangeRecord> records = new ArrayList<>();
    for (MoveStatus move : runner.status().lastMoves()) {
      records.add(
          new ChangeRecord(
              runner.id(),
              move.atMs() + offsetMs,
              move.version().toString(),
              "MOVE",
              controller.value(),
              move.reason().name(),
              1,
              shardLabel(move.shard()) + name(move.from()) + " -> " + name(move.to())));
    }
    Collections.reverse(records);
    return records;
  }

  private static String shardLabel(int shard) {
    return "shard " + shard + ": ";
  }

  private static String name(TargetId target) {
    return target == null ? "nobody" : target.value();
  }

  private static TargetId target(ShardTable table, int index) {
    return index == ShardTable.NO_TARGET ? null : table.targets().get(index);
  }

  private static int countOwnerless(ShardTable table) {
    return (int)
        IntStream.range(0, table.shardCount())
            .filter(shard -> table.owner(shard) == ShardTable.NO_TARGET)
            .count();
  }

  private int countRecent(List<MoveStatus> moves) {
    long sinceMs = monotonicMs.getAsLong() - MINUTE_MS;
    return (int) moves.stream().filter(move -> move.atMs() >= sinceMs).count();
  }

  private static Map<TargetId, Instance> instancesOf(
      CellRunner runner, Optional<Configuration> configuration) {
    Map<TargetId, Instance> instances = new TreeMap<>();
    configuration.stream()
        .flatMap(known -> known.inventory().instances().stream())
        .filter(instance -> instance.service().value().equals(runner.id().value()))
        .forEach(instance -> instances.put(instance.id(), instance));
    return instances;
  }

  private static List<RouterStatus> routers(
      ShardTable table, List<io.cuminvalve.core.authority.CellStatus.RouterStatus> heard) {
    List<RouterStatus> list = new ArrayList<>();
    for (RegisteredRouter router : table.routers()) {
      list.add(
          heard.stream()
              .filter(status -> status.router().equals(router.id()))
              .findFirst()
              .map(status -> router(router, status))
              .orElse(unheard(router)));
    }
    return list;
  }

  private static RouterStatus router(
      RegisteredRouter router, io.cuminvalve.core.authority.CellStatus.RouterStatus heard) {
    return new RouterStatus(
        router.id(),
        router.dataCentre(),
        router.witness(),
        heard.learned(),
        heard.version().toString(),
        heard.configRevision(),
        heard.silentMs() == Long.MAX_VALUE ? NEVER_HEARD : heard.silentMs());
  }

  private static RouterStatus unheard(RegisteredRouter router) {
    return new RouterStatus(
        router.id(), router.dataCentre(), router.witness(), false, "0.0.0", 0, NEVER_HEARD);
  }

  private static List<TargetStatus> targets(
      CellRunner runner,
      Map<TargetId, io.cuminvalve.core.placement.TargetState> states,
      Optional<ShardTable> table,
      Map<TargetId, Instance> instances) {
    Map<TargetId, Integer> owned = new TreeMap<>();
    Map<TargetId, Integer> standby = new TreeMap<>();
    instances.keySet().forEach(target -> owned.put(target, 0));
    table.ifPresent(known -> countShards(known, owned, standby));
    List<TargetStatus> list = new ArrayList<>();
    owned.forEach(
        (target, count) ->
            list.add(
                new TargetStatus(
                    target,
                    instances.containsKey(target)
                        ? instances.get(target).dataCentre()
                        : UNKNOWN_DATA_CENTRE,
                    states.containsKey(target) ? states.get(target).name() : NOT_ASSIGNED,
                    count,
                    standby.getOrDefault(target, 0),
                    runner.health(target).map(TargetHealth::load).orElse(0.0))));
    return list;
  }

  private static void countShards(
      ShardTable table, Map<TargetId, Integer> owned, Map<TargetId, Integer> standby) {
    for (int shard = 0; shard < table.shardCount(); shard++) {
      if (table.owner(shard) != ShardTable.NO_TARGET) {
        owned.merge(table.targets().get(table.owner(shard)), 1, Integer::sum);
      }
      if (table.standby(shard) != ShardTable.NO_TARGET) {
        standby.merge(table.targets().get(table.standby(shard)), 1, Integer::sum);
      }
    }
  }

  /** The most shards per slot of any target, divided by the mean; 1 if there is nothing to see. */
  private static double imbalance(List<TargetStatus> targets, Map<TargetId, Instance> instances) {
    double most = 0;
    long shards = 0;
    long slots = 0;
    for (TargetStatus target : targets) {
      if (instances.containsKey(target.id())) {
        int targetSlots = instances.get(target.id()).slots();
        most = Math.max(most, (double) target.ownedShards() / targetSlots);
        shards += target.ownedShards();
        slots += targetSlots;
      }
    }
    return shards == 0 ? 1 : most * slots / shards;
  }
}
