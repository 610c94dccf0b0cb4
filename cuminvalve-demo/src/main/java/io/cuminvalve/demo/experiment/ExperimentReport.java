package io.cuminvalve.demo.experiment;

import io.cuminvalve.load.report.AuditResult;
import io.cuminvalve.load.report.LoadSummary;
import io.cuminvalve.testkit.ledger.Violation;
import java.util.List;

/**
 * The results of an experiment.
 *
 * @param processes how many processes ran
 * @param loadAverage the machine's load average at the end
 * @param scenarios per scenario; not null
 * @param background what the callers of the background load saw; not null
 * @param audit where answers and the targets' ledgers disagree; not null
 * @param executions how many requests targets ran
 * @param violationCount broken invariants found in the ledgers
 * @param violations the first of them; not null
 */
public record ExperimentReport(
    int processes,
    double loadAverage,
    List<ScenarioResult> scenarios,
    LoadSummary background,
    AuditResult audit,
    long executions,
    long violationCount,
    List<Violation> violations) {}
