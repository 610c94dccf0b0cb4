package io.cuminvalve.load.replay;

import io.cuminvalve.core.replay.ReplayOutcome;
import io.cuminvalve.core.replay.ReplayReport;
import io.cuminvalve.core.replay.TraceReplay;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Replays a trace against the decisions of the request path in virtual time. */
@Command(
    name = "replay",
    mixinStandardHelpOptions = true,
    description = "Replays a trace in virtual time and compares it with stated outcomes.",
    footer = {
      "",
      "Without --expect the outcome of each request is printed.",
      "Exit status: 0 if all stated outcomes were met, 1 if not, 2 for wrong usage or input.",
      "Example: cuminvalve replay cut-answer.trace.jsonl --expect cut-answer.outcomes.jsonl"
    })
final class ReplayCommand implements Callable<Integer> {

  private static final int DIFFERS = 1;

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "TRACE", description = "The trace, JSON Lines.")
  private Path trace;

  @Option(
      names = "--expect",
      paramLabel = "OUTCOMES",
      description = "The stated outcomes, JSON Lines.")
  private Path expected;

  @Override
  public Integer call() throws IOException {
    ReplayReport report = TraceReplay.run(TraceFiles.events(Files.readAllLines(trace)));
    PrintWriter out = spec.commandLine().getOut();
    if (expected == null) {
      report.outcomes().forEach(outcome -> print(out, outcome));
      return 0;
    }
    List<ExpectedOutcome> stated = TraceFiles.outcomes(Files.readAllLines(expected));
    List<String> differences = ReplayCheck.differences(report, stated);
    differences.forEach(out::println);
    out.printf(
        "%d requests, %d stated outcomes, %d differences%n",
        report.outcomes().size(), stated.size(), differences.size());
    return differences.isEmpty() ? 0 : DIFFERS;
  }

  private static void print(PrintWriter out, ReplayOutcome outcome) {
    out.printf(
        "%s %s %s %s runs=%d endedAtMs=%d%n",
        outcome.request(),
        outcome.outcome().end(),
        outcome.outcome().verdict(),
        outcome.outcome().reason(),
        outcome.runs(),
        outcome.endedAtMs());
  }
}
