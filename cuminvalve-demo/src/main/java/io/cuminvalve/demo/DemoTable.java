package io.cuminvalve.demo;

import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.load.report.AuditResult;
import io.cuminvalve.load.report.KindSummary;
import io.cuminvalve.load.report.LoadSummary;
import java.util.Locale;

/** Prints a report for people. */
final class DemoTable {

  private DemoTable() {}

  static String format(DemoReport report) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < report.loads().size(); i++) {
      addLoad(out, report.loads().get(i), report.audits().get(i));
    }
    addCells(out, report);
    addChecks(out, report);
    return out.toString();
  }

  private static void addLoad(StringBuilder out, LoadSummary load, AuditResult audit) {
    line(out, "");
    line(
        out,
        "%-24s %8s %8s %8s %8s %13s %9s %9s",
        load.profile(),
        "attempts",
        "served",
        "RAN",
        "NOT_RUN",
        "MAY_HAVE_RUN",
        "p50 ms",
        "p99 ms");
    for (KindSummary kind : load.kinds()) {
      line(
          out,
          "  %-22s %8d %8d %8d %8d %13d %9.1f %9.1f",
          kind.kind(),
          kind.attempts(),
          kind.served(),
          count(kind, Verdict.RAN),
          count(kind, Verdict.NOT_RUN),
          count(kind, Verdict.MAY_HAVE_RUN),
          kind.latency().p50Ms(),
          kind.latency().p99Ms());
    }
    load.classes()
        .forEach(
            (name, latency) ->
                line(
                    out,
                    "  class %-16s p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms",
                    name,
                    latency.p50Ms(),
                    latency.p90Ms(),
                    latency.p99Ms(),
                    latency.p999Ms(),
                    latency.maxMs()));
    line(
        out,
        "  unavailable time per key: mean %.0f ms, worst group %.0f ms; errors %s; not sent %d",
        load.meanUnavailableMs(),
        load.worstUnavailableMs(),
        load.errors(),
        load.unsent());
    line(
        out,
        "  against the targets' ledger: false NOT_RUN %d, false RAN %d, duplicates %d,"
            + " wrong answers %d",
        audit.falseNotRun(),
        audit.falseRan(),
        audit.duplicates(),
        audit.wrongAnswers());
  }

  private static long count(KindSummary kind, Verdict verdict) {
    return kind.verdicts().getOrDefault(verdict, 0L);
  }

  private static void addCells(StringBuilder out, DemoReport report) {
    line(out, "");
    line(
        out,
        "%-24s %8s %12s %16s %15s",
        "cell",
        "shards",
        "keys moved",
        "imbalance shards",
        "imbalance load");
    for (DemoReport.CellReport cell : report.cells()) {
      line(
          out,
          "  %-22s %8d %12d %16.2f %15.2f",
          cell.cell(),
          cell.shards(),
          cell.ownerChanges(),
          cell.shardImbalance(),
          cell.loadImbalance());
    }
  }

  private static void addChecks(StringBuilder out, DemoReport report) {
    line(out, "");
    for (DemoReport.Check check : report.checks()) {
      line(out, "  %-60s %s", check.name(), check.held() ? "holds" : "FAILED");
    }
    line(out, "  configuration in force everywhere after %d ms", report.configurationInForceMs());
    report.violations().stream().limit(5).forEach(violation -> line(out, "  %s", violation));
    line(
        out,
        "%d invariant violations, %.1f s",
        report.violationCount(),
        report.elapsedMs() / 1_000.0);
  }

  private static void line(StringBuilder out, String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
  }
}
