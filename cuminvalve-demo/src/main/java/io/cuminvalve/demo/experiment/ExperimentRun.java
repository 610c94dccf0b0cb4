package io.cuminvalve.demo.experiment;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.load.profile.KeyChooser;
import io.cuminvalve.load.profile.OperationKind;
import io.cuminvalve.load.profile.Profile;
import io.cuminvalve.load.report.LoadRecorder;
import io.cuminvalve.load.run.LoadClients;
import io.cuminvalve.load.run.LoadGenerator;
import io.cuminvalve.load.run.LoadPlan;
import io.cuminvalve.testkit.ledger.ExecutionLedger;
import io.cuminvalve.testkit.ledger.FileLedger;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.HttpClient;

/** Runs scenarios over and over on one fleet, under a background load of lookups and payouts. */
final class ExperimentRun {

  private static final long PROBE_INTERVAL_MS = 40;
  private static final long BEFORE_FAULT_MS = 300;
  private static final long TRIAL_MS = 8_000;
  private static final long PAUSE_MS = 5_000;
  private static final long SETTLE_MS = 60_000;
  private static final long QUIET_MS = 2_000;
  private static final long GRACE_MS = 10_000;
  private static final int MAX_OUTSTANDING = 500;
  private static final int MAX_PROBED_SHARDS = 16;
  private static final double TARGET_MS = 1_000;
  private static final double P50 = 0.5;
  private static final double P99 = 0.99;

  private final Fleet fleet;
  private final HttpClient client = LoadClients.start();
  private final Consumer<String> progress;
  private final ShardProber prober;
  private volatile ManagedProcess lastHolder;
  private int rotation;

  ExperimentRun(Fleet fleet, Consumer<String> progress) {
    this.fleet = fleet;
    this.progress = progress;
    this.prober = new ShardProber(client, this::liveRouters, fleet.shardCount(), PROBE_INTERVAL_MS);
  }

  private List<String> liveRouters() {
    return fleet.routerAddresses().subList(1, fleet.routerAddresses().size());
  }

  ExperimentReport run(List<Scenario> scenarios, int trials, double ratePerSecond)
      throws InterruptedException {
    try {
      fleet.start();
      Await.until(this::isSettled, "no settled table");
      RecoveryMeter all = new RecoveryMeter(allShards(), true);
      all.onFault(System.nanoTime());
      prober.probe(allShards(), all, TRIAL_MS * 2);
      progress.accept("all shards are served");
      return runUnderLoad(scenarios, trials, ratePerSecond);
    } finally {
      LoadClients.stop(client);
    }
  }

  private ExperimentReport runUnderLoad(List<Scenario> scenarios, int trials, double ratePerSecond)
      throws InterruptedException {
    LoadRecorder recorder = new LoadRecorder();
    LoadPlan plan =
        new LoadPlan(
            background(),
            ratePerSecond,
            Long.MAX_VALUE / 1_000_000_000L,
            1,
            fleet.routerAddresses(),
            MAX_OUTSTANDING,
            true);
    LoadGenerator generator = new LoadGenerator(plan, client, recorder);
    Thread loader = new Thread(() -> runLoad(generator), "background-load");
    loader.start();
    List<ScenarioResult> results = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      results.add(runScenario(scenario, trials));
    }
    loader.interrupt();
    loader.join();
    TimeUnit.MILLISECONDS.sleep(GRACE_MS);
    ExecutionLedger ledger = new ExecutionLedger();
    FileLedger.merge(fleet.ledgers(), ledger);
    return new ExperimentReport(
        fleet.size(),
        ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
        results,
        recorder.summary(plan.profile().name(), generator.unsentCount()),
        recorder.audit(ledger::executionsOf),
        ledger.executionCount(),
        ledger.violationCount(),
        ledger.violations());
  }

  private static void runLoad(LoadGenerator generator) {
    try {
      generator.run(GRACE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Profile background() {
    return new Profile(
        "claims",
        List.of(
            new OperationKind(
                "claim-lookup",
                "GET",
                "/claims/{key}",
                null,
                true,
                RequestClass.INTERACTIVE,
                1,
                0,
                512,
                2_000),
            new OperationKind(
                "settlement-payout",
                "POST",
                "/claims/{key}/payouts",
                null,
                false,
                RequestClass.INTERACTIVE,
                1,
                512,
                512,
                5_000)),
        KeyChooser.even(10_000));
  }

  private ScenarioResult runScenario(Scenario scenario, int trials) throws InterruptedException {
    List<Double> times = new ArrayList<>();
    int unserved = 0;
    for (int trial = 0; trial < trials; trial++) {
      RecoveryMeter meter = runTrial(scenario);
      times.addAll(meter.timesMs());
      unserved += meter.unserved();
    }
    Collections.sort(times);
    ScenarioResult result =
        new ScenarioResult(
            scenario.label(),
            trials,
            times.size(),
            percentile(times, P50),
            percentile(times, P99),
            percentile(times, 1),
            unserved,
            scenario.losesTarget() ? TARGET_MS : 0);
    progress.accept(result.toString());
    return result;
  }

  private static double percentile(List<Double> sorted, double share) {
    if (sorted.isEmpty()) {
      return Double.NaN;
    }
    int index = (int) Math.ceil(share * sorted.size()) - 1;
    return sorted.get(Math.max(0, index));
  }

  private RecoveryMeter runTrial(Scenario scenario) throws InterruptedException {
    awaitQuiet();
    ShardTable table = fleet.table().orElseThrow();
    TargetId victim = chooseVictim(table);
    Set<Integer> shards = scenario.losesTarget() ? shardsOf(table, victim) : allShards();
    RecoveryMeter meter = new RecoveryMeter(limit(shards), scenario.losesTarget());
    // The fault strikes while probes are already under way.
    CompletableFuture<Void> fault =
        CompletableFuture.runAsync(
            () -> inject(scenario, victim, meter),
            CompletableFuture.delayedExecutor(BEFORE_FAULT_MS, TimeUnit.MILLISECONDS));
    prober.probe(limit(shards), meter, TRIAL_MS);
    fault.join();
    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    repair(scenario, victim);
    return meter;
  }

  private static Set<Integer> limit(Set<Integer> shards) {
    return shards.stream()
        .sorted()
        .limit(MAX_PROBED_SHARDS)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Takes targets in turn, among those that own something. */
  private TargetId chooseVictim(ShardTable table) {
    Map<TargetId, Integer> owned = new HashMap<>();
    for (int shard = 0; shard < table.shardCount(); shard++) {
      owned.merge(table.targets().get(table.owner(shard)), 1, Integer::sum);
    }
    List<TargetId> owners = owned.keySet().stream().sorted().toList();
    return owners.get(rotation++ % owners.size());
  }

  private static Set<Integer> shardsOf(ShardTable table, TargetId owner) {
    return IntStream.range(0, table.shardCount())
        .filter(shard -> table.targets().get(table.owner(shard)).equals(owner))
        .boxed()
        .collect(Collectors.toSet());
  }

  private Set<Integer> allShards() {
    return IntStream.range(0, fleet.shardCount()).boxed().collect(Collectors.toSet());
  }

  /**
   * Waits until the faults of the trial before are mended: the table has not changed for a while,
   * and every shard is served. Without this, a trial would measure two losses in a row.
   */
  private void awaitQuiet() throws InterruptedException {
    RecoveryMeter served = new RecoveryMeter(allShards(), true);
    served.onFault(System.nanoTime());
    prober.probe(allShards(), served, SETTLE_MS);
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);
    Optional<TableVersion> before = Optional.empty();
    Optional<TableVersion> now = version();
    while ((!isSettled() || !now.equals(before)) && System.nanoTime() < endNs) {
      TimeUnit.MILLISECONDS.sleep(QUIET_MS);
      before = now;
      now = version();
    }
    if (!now.equals(before) || served.unserved() > 0) {
      progress.accept("not quiet before a trial: " + served.unserved() + " shards not served");
    }
  }

  private Optional<TableVersion> version() {
    return fleet.table().map(ShardTable::version);
  }

  private boolean isSettled() {
    return fleet.table().filter(ExperimentRun::isSettled).isPresent();
  }

  private static boolean isSettled(ShardTable table) {
    return IntStream.range(0, table.shardCount())
        .allMatch(shard -> table.owner(shard) != ShardTable.NO_TARGET && !table.isMoving(shard));
  }

  private void inject(Scenario scenario, TargetId victim, RecoveryMeter meter) {
    ManagedProcess target = fleet.target(victim);
    switch (scenario) {
      case TARGET_KILLED -> {
        meter.onFault(System.nanoTime());
        target.kill();
      }
      case TARGET_KILLED_STORE_DOWN -> {
        fleet.setStoreDown(true);
        meter.onFault(System.nanoTime());
        target.kill();
      }
      case TARGET_AND_HOLDER_KILLED -> {
        lastHolder = fleet.holder();
        meter.onFault(System.nanoTime());
        lastHolder.kill();
        target.kill();
      }
      case TARGET_KILLED_ROUTER_PAUSED -> {
        meter.onFault(System.nanoTime());
        fleet.router(0).pause();
        target.kill();
      }
      case TARGET_FROZEN -> {
        meter.onFault(System.nanoTime());
        target.pause();
      }
      case HOLDER_KILLED -> {
        lastHolder = fleet.holder();
        meter.onFault(System.nanoTime());
        lastHolder.kill();
      }
      case STORE_DOWN -> {
        meter.onFault(System.nanoTime());
        fleet.setStoreDown(true);
      }
      default -> throw new AssertionError(scenario);
    }
  }

  private void repair(Scenario scenario, TargetId victim) {
    ManagedProcess target = fleet.target(victim);
    switch (scenario) {
      case TARGET_KILLED -> target.start();
      case TARGET_KILLED_STORE_DOWN -> {
        fleet.setStoreDown(false);
        target.start();
      }
      case TARGET_AND_HOLDER_KILLED -> {
        lastHolder.start();
        target.start();
      }
      case TARGET_KILLED_ROUTER_PAUSED -> {
        fleet.router(0).resume();
        target.start();
      }
      case TARGET_FROZEN -> target.resume();
      case HOLDER_KILLED -> lastHolder.start();
      case STORE_DOWN -> fleet.setStoreDown(false);
      default -> throw new AssertionError(scenario);
    }
  }
}
