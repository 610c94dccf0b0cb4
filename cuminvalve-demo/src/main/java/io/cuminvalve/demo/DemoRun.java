package io.cuminvalve.demo;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.load.profile.Profile;
import io.cuminvalve.load.profile.Profiles;
import io.cuminvalve.load.report.AuditResult;
import io.cuminvalve.load.report.LoadRecorder;
import io.cuminvalve.load.report.LoadSummary;
import io.cuminvalve.load.run.LoadClients;
import io.cuminvalve.load.run.LoadGenerator;
import io.cuminvalve.load.run.LoadPlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;

/** One run of the demo, from the start of every process to the report. */
final class DemoRun {

  private static final long READY_TIMEOUT_MS = 20_000;
  private static final long IN_FORCE_TIMEOUT_MS = 5_000;
  private static final long POLL_MS = 50;
  private static final long ANSWER_GRACE_MS = 8_000;
  private static final int MAX_OUTSTANDING = 1_000;
  private static final TargetId LOST = new TargetId("claims-02");
  private static final TargetId DRAINED = new TargetId("quotes-03");

  private static final class Load {
    final LoadRecorder recorder = new LoadRecorder();
    final Profile profile;
    final LoadGenerator generator;

    Load(Profile profile, DemoPlan plan, List<String> routers, HttpClient client) {
      this.profile = profile;
      LoadPlan loadPlan =
          new LoadPlan(
              profile,
              plan.ratePerSecond(),
              plan.durationMs(),
              plan.seed(),
              routers,
              MAX_OUTSTANDING,
              true);
      this.generator = new LoadGenerator(loadPlan, client, recorder);
    }

    LoadSummary summary() {
      return recorder.summary(profile.name(), generator.unsentCount());
    }
  }

  private final DemoPlan plan;
  private final DemoProgress progress;
  private final long startNs = System.nanoTime();

  DemoRun(DemoPlan plan, DemoProgress progress) {
    this.plan = plan;
    this.progress = progress;
  }

  DemoReport run() throws Exception {
    HttpClient client = LoadClients.start();
    try (DemoCluster cluster = new DemoCluster(DemoConfiguration.read())) {
      show("stand-ins listen; starting three controllers and three routers");
      cluster.start();
      await(cluster::isReady, READY_TIMEOUT_MS, "the routers are not ready");
      return runLoads(cluster, client);
    } finally {
      LoadClients.stop(client);
    }
  }

  private DemoReport runLoads(DemoCluster cluster, HttpClient client) throws Exception {
    List<Load> loads =
        List.of(
            new Load(Profiles.resguardo(), plan, cluster.routerAddresses(), client),
            new Load(Profiles.cotiza(), plan, cluster.routerAddresses(), client));
    ExecutorService threads = Executors.newFixedThreadPool(loads.size());
    try {
      List<Future<Boolean>> ends = new ArrayList<>();
      for (Load load : loads) {
        ends.add(threads.submit(() -> load.generator.run(ANSWER_GRACE_MS)));
      }
      return runPhases(cluster, client, loads, ends);
    } finally {
      threads.shutdownNow();
    }
  }

  private DemoReport runPhases(
      DemoCluster cluster, HttpClient client, List<Load> loads, List<Future<Boolean>> ends)
      throws Exception {
    ChurnMeter churn = new ChurnMeter(cluster::table);
    phase("steady load", cluster, churn);
    cluster.lose(LOST);
    phase("target " + LOST + " is lost", cluster, churn);
    cluster.drain(DRAINED);
    phase("target " + DRAINED + " drains", cluster, churn);
    cluster.publish(cluster.configuration().withAddedKind(), "adds a kind");
    final long inForceMs = awaitInForce(cluster, client);
    phase("a configuration was published", cluster, churn);
    final Map<TargetId, Long> before = cluster.ledger().executionsByTarget();
    phase("steady load again", cluster, churn);
    boolean answered = true;
    for (Future<Boolean> end : ends) {
      answered &= end.get(ANSWER_GRACE_MS * 2, TimeUnit.MILLISECONDS);
    }
    List<DemoReport.Check> checks = new ArrayList<>();
    checks.add(new DemoReport.Check("every request got an end", answered));
    checks.add(new DemoReport.Check("configuration in force within 5 s", inForceMs >= 0));
    checks.add(
        new DemoReport.Check("configuration still in force", isInForceEverywhere(cluster, client)));
    checks.add(
        new DemoReport.Check(
            "drained target owns nothing", cluster.target(DRAINED).report().grants() == 0));
    checks.add(new DemoReport.Check("every kind was served", isEveryKindServed(loads)));
    return report(cluster, loads, churn, before, inForceMs, checks);
  }

  private DemoReport report(
      DemoCluster cluster,
      List<Load> loads,
      ChurnMeter churn,
      Map<TargetId, Long> before,
      long inForceMs,
      List<DemoReport.Check> checks) {
    List<AuditResult> audits =
        loads.stream().map(load -> load.recorder.audit(cluster.ledger()::executionsOf)).toList();
    long falseAnswers =
        audits.stream().mapToLong(audit -> audit.total() - audit.duplicates()).sum();
    Map<TargetId, Long> lastPhase = new HashMap<>(cluster.ledger().executionsByTarget());
    before.forEach((target, count) -> lastPhase.merge(target, -count, Long::sum));
    return new DemoReport(
        loads.stream().map(Load::summary).toList(),
        audits,
        cluster.cells().stream().map(cell -> cellReport(cell, churn, lastPhase)).toList(),
        inForceMs,
        checks,
        cluster.ledger().violationCount() + falseAnswers,
        cluster.ledger().violations(),
        elapsedMs());
  }

  private static DemoReport.CellReport cellReport(
      CellId cell, ChurnMeter churn, Map<TargetId, Long> executions) {
    Optional<ShardTable> table = churn.lastOf(cell);
    if (table.isEmpty()) {
      return new DemoReport.CellReport(cell.value(), 0, 0, 0, 0);
    }
    Map<TargetId, Long> shards = new HashMap<>();
    for (int shard = 0; shard < table.get().shardCount(); shard++) {
      ChurnMeter.owner(table.get(), shard).ifPresent(target -> shards.merge(target, 1L, Long::sum));
    }
    Map<TargetId, Long> load = new HashMap<>();
    shards.keySet().forEach(target -> load.put(target, executions.getOrDefault(target, 0L)));
    return new DemoReport.CellReport(
        cell.value(),
        table.get().shardCount(),
        churn.changesOf(cell),
        imbalance(shards),
        imbalance(load));
  }

  private static double imbalance(Map<TargetId, Long> counts) {
    double mean = counts.values().stream().mapToLong(Long::longValue).average().orElse(0);
    long most = counts.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return mean == 0 ? 0 : most / mean;
  }

  private static boolean isEveryKindServed(List<Load> loads) {
    return loads.stream()
        .flatMap(load -> load.summary().kinds().stream())
        .allMatch(kind -> kind.served() > 0);
  }

  private void phase(String what, DemoCluster cluster, ChurnMeter churn)
      throws InterruptedException {
    show(what);
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.phaseMs());
    while (System.nanoTime() < endNs) {
      cluster.cells().forEach(churn::sample);
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  /** Returns how long it took, or -1 if it took too long. */
  private long awaitInForce(DemoCluster cluster, HttpClient client) throws InterruptedException {
    long publishedMs = elapsedMs();
    while (!isInForceEverywhere(cluster, client)) {
      if (elapsedMs() - publishedMs > IN_FORCE_TIMEOUT_MS) {
        return -1;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return elapsedMs() - publishedMs;
  }

  private static boolean isInForceEverywhere(DemoCluster cluster, HttpClient client) {
    return cluster.routerAddresses().stream().allMatch(router -> isInForce(router, client));
  }

  private static boolean isInForce(String router, HttpClient client) {
    try {
      String uri = "http://" + router + DemoConfiguration.ADDED_PATH;
      return client.GET(uri).getStatus() == 200;
    } catch (Exception e) {
      return false;
    }
  }

  private void await(BooleanSupplier condition, long timeoutMs, String failure)
      throws InterruptedException {
    long endMs = elapsedMs() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (elapsedMs() > endMs) {
        throw new CodedException(ErrorCode.TIMEOUT, failure);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  private void show(String what) {
    progress.show(String.format(Locale.ROOT, "%6.1f s  %s", elapsedMs() / 1_000.0, what));
  }

  private long elapsedMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }
}
