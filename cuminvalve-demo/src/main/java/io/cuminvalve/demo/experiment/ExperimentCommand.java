package io.cuminvalve.demo.experiment;

import io.cuminvalve.load.report.SummaryJson;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures recovery with real processes and prints the figures beside their targets. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = {
      "Starts routers, controllers and stand-ins as processes on loopback, kills and pauses them,"
          + " and times until each shard is served again."
    },
    footer = {
      "",
      "Exit status: 0 if no invariant was violated and no answer was false, 1 otherwise.",
      "Example: cuminvalve experiment --trials 20 --scenario target-killed --out figures.json"
    })
final class ExperimentCommand implements Callable<Integer> {

  private static final int VIOLATED = 1;

  @Spec private CommandSpec spec;

  @Option(
      names = "--trials",
      defaultValue = "5",
      description = "Trials of each scenario (default: ${DEFAULT-VALUE}).")
  private int trials;

  @Option(
      names = "--scenario",
      split = ",",
      description = "Which scenarios, by name; all if left out.")
  private List<String> names = List.of();

  @Option(
      names = "--rate",
      paramLabel = "PER_SECOND",
      defaultValue = "100",
      description = "Background operations a second (default: ${DEFAULT-VALUE}).")
  private double ratePerSecond;

  @Option(names = "--out", paramLabel = "FILE", description = "Writes the results as JSON.")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    PrintWriter console = spec.commandLine().getOut();
    Path folder = Files.createTempDirectory("cuminvalve-experiment");
    Path examples = Path.of(System.getProperty("cuminvalve.home", "."), "examples");
    show(console, "logs and ledgers are in " + folder);
    ExperimentReport report;
    try (Fleet fleet = new Fleet(folder, examples)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "end-processes"));
      report =
          new ExperimentRun(fleet, line -> show(console, line))
              .run(scenarios(), trials, ratePerSecond);
    }
    show(console, table(report));
    if (out != null) {
      Files.writeString(out, SummaryJson.write(report));
    }
    return report.violationCount() + report.audit().total() == 0 ? 0 : VIOLATED;
  }

  private List<Scenario> scenarios() {
    return Arrays.stream(Scenario.values())
        .filter(scenario -> names.isEmpty() || names.contains(scenario.label()))
        .toList();
  }

  private static void show(PrintWriter console, String line) {
    console.println(line);
    console.flush();
  }

  private static String table(ExperimentReport report) {
    StringBuilder text = new StringBuilder();
    text.append(
        "| scenario | trials | shards | p50 ms | p99 ms | max ms | not served | target p99 ms |\n"
            + "|---|---|---|---|---|---|---|---|\n");
    for (ScenarioResult row : report.scenarios()) {
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %d | %d | %.0f | %.0f | %.0f | %d | %s |%n",
              row.scenario(),
              row.trials(),
              row.shards(),
              row.p50Ms(),
              row.p99Ms(),
              row.maxMs(),
              row.unserved(),
              row.targetMs() == 0 ? "-" : String.format(Locale.ROOT, "%.0f", row.targetMs())));
    }
    return text.append(
            String.format(
                Locale.ROOT,
                "%d processes, load average %.1f; %d background operations, %d executions counted"
                    + " by targets; false NOT_RUN %d, false RAN %d, duplicates %d, wrong answers"
                    + " %d, violations %d",
                report.processes(),
                report.loadAverage(),
                report.background().attempts(),
                report.executions(),
                report.audit().falseNotRun(),
                report.audit().falseRan(),
                report.audit().duplicates(),
                report.audit().wrongAnswers(),
                report.violationCount()))
        .toString();
  }
}
