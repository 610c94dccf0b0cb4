package io.cuminvalve.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the demo and prints its table. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Runs the whole system in one process on loopback: stand-ins of the platform, three"
          + " controllers, three routers, the targets of both examples and a mixed load. One target"
          + " is lost, one is drained and one configuration is published on the way."
    },
    footer = {
      "",
      "Exit status: 0 if every check held, 1 if one did not.",
      "Example: cuminvalve demo --json"
    })
final class DemoCommand implements Callable<Integer> {

  private static final int VIOLATED = 1;

  @Spec private CommandSpec spec;

  @Option(names = "--json", description = "Print the results as JSON, without progress.")
  private boolean json;

  @Option(
      names = "--rate",
      paramLabel = "PER_SECOND",
      defaultValue = "120",
      description = "Operations a second of each of the two loads (default: ${DEFAULT-VALUE}).")
  private double ratePerSecond;

  @Option(
      names = "--phase-ms",
      paramLabel = "MS",
      defaultValue = "6000",
      description = "Length of each of the five phases (default: ${DEFAULT-VALUE}).")
  private long phaseMs;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the loads (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    DemoProgress progress = json ? line -> {} : line -> print(out, line);
    DemoReport report = new DemoRun(new DemoPlan(ratePerSecond, phaseMs, seed), progress).run();
    print(out, json ? toJson(report) : DemoTable.format(report));
    return report.holds() ? 0 : VIOLATED;
  }

  private static void print(PrintWriter out, String line) {
    out.println(line);
    out.flush();
  }

  private static String toJson(DemoReport report) {
    try {
      return new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot write the report", e);
    }
  }
}
