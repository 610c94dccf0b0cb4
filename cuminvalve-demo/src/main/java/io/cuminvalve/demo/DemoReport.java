package io.cuminvalve.demo;

import io.cuminvalve.load.report.AuditResult;
import io.cuminvalve.load.report.LoadSummary;
import io.cuminvalve.testkit.ledger.Violation;
import java.util.List;

/**
 * The results of a demo.
 *
 * @param loads per user, what callers saw; not null
 * @param audits per user, where answers and targets' ledger disagree; not null
 * @param cells per cell, moves and imbalance; not null
 * @param configurationInForceMs how long until every router served by the new configuration, or -1
 * @param checks what had to hold; not null
 * @param violationCount broken invariants of the ledger and false answers
 * @param violations the first of the ledger; not null
 * @param elapsedMs the length of the whole demo
 * @since 0.1
 */
public record DemoReport(
    List<LoadSummary> loads,
    List<AuditResult> audits,
    List<CellReport> cells,
    long configurationInForceMs,
    List<Check> checks,
    long violationCount,
    List<Violation> violations,
    long elapsedMs) {

  /**
   * What happened to one cell.
   *
   * @param cell its name; not null
   * @param shards how many shards it has
   * @param ownerChanges how often a shard got another owner after the first assignment
   * @param shardImbalance the most shards of a target in relation to the mean, at the end
   * @param loadImbalance the most executions of a target in relation to the mean, in the last phase
   */
  public record CellReport(
      String cell, int shards, long ownerChanges, double shardImbalance, double loadImbalance) {}

  /**
   * Something that had to hold.
   *
   * @param name what; not null
   * @param held whether it did
   */
  public record Check(String name, boolean held) {}

  /**
   * Tells whether everything held.
   *
   * @return true if no check failed and there is no violation
   */
  public boolean holds() {
    return violationCount == 0 && checks.stream().allMatch(Check::held);
  }
}
