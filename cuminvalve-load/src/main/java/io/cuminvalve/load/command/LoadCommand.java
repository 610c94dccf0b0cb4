package io.cuminvalve.load.command;

import io.cuminvalve.load.profile.Profile;
import io.cuminvalve.load.profile.Profiles;
import io.cuminvalve.load.report.HtmlReport;
import io.cuminvalve.load.report.LoadRecorder;
import io.cuminvalve.load.report.LoadSummary;
import io.cuminvalve.load.report.SummaryJson;
import io.cuminvalve.load.run.LoadClients;
import io.cuminvalve.load.run.LoadGenerator;
import io.cuminvalve.load.run.LoadPlan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.eclipse.jetty.client.HttpClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Sends open-loop load to routers and reports what callers saw. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Sends the load of one of the example users to routers, in an open loop.",
    footer = {
      "",
      "Latency counts from the time at which an operation was meant to be sent.",
      "Exit status: 0 if every answer was whole and the caller's own, 1 if not, 2 for wrong usage.",
      "Example: cuminvalve load --profile cotiza --rate 200 --duration-ms 30000 127.0.0.1:8080"
    })
final class LoadCommand implements Callable<Integer> {

  private static final long ANSWER_GRACE_MS = 35_000;
  private static final int WRONG = 1;

  @Spec private CommandSpec spec;

  @Parameters(arity = "1..*", paramLabel = "ROUTER", description = "IP numbers and ports.")
  private List<String> routers;

  @Option(
      names = "--profile",
      defaultValue = "resguardo",
      description = "resguardo or cotiza (default: ${DEFAULT-VALUE}).")
  private String profileName;

  @Option(
      names = "--rate",
      paramLabel = "PER_SECOND",
      defaultValue = "100",
      description = "Operations a second (default: ${DEFAULT-VALUE}).")
  private double ratePerSecond;

  @Option(
      names = "--duration-ms",
      paramLabel = "MS",
      defaultValue = "10000",
      description = "How long (default: ${DEFAULT-VALUE}).")
  private long durationMs;

  @Option(
      names = "--max-outstanding",
      defaultValue = "2000",
      description = "How many operations may be open (default: ${DEFAULT-VALUE}).")
  private int maxOutstanding;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Makes the sequence repeatable (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--html", paramLabel = "FILE", description = "Writes a report with plots.")
  private Path html;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Profile profile = Profiles.byName(profileName);
    LoadPlan plan =
        new LoadPlan(profile, ratePerSecond, durationMs, seed, routers, maxOutstanding, true);
    LoadRecorder recorder = new LoadRecorder();
    LoadSummary summary = run(plan, recorder);
    spec.commandLine().getOut().println(SummaryJson.write(summary));
    if (html != null) {
      Files.writeString(html, HtmlReport.render(summary, recorder.timeline()));
    }
    return recorder.wrongAnswers() == 0 ? 0 : WRONG;
  }

  private static LoadSummary run(LoadPlan plan, LoadRecorder recorder) throws InterruptedException {
    HttpClient client = LoadClients.start();
    try {
      LoadGenerator generator = new LoadGenerator(plan, client, recorder);
      generator.run(ANSWER_GRACE_MS);
      return recorder.summary(plan.profile().name(), generator.unsentCount());
    } finally {
      LoadClients.stop(client);
    }
  }
}
