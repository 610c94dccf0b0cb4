package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.config.admin.RequestReport;
import io.cuminvalve.config.admin.RequestStep;
import io.cuminvalve.core.id.RequestId;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Explains what became of a request.
 *
 * @since 0.1
 */
@Command(
    name = "request",
    description = "Shows each step and the verdict of a recent request.",
    footer = {
      "",
      "The identifier is the response header Cuminvalve-Request-Id. Routers remember",
      "a bounded number of recent requests.",
      "",
      "Example:",
      "  cuminvalve explain request entry-01-42"
    })
public final class ExplainRequestCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Parameters(paramLabel = "REQUEST-ID", description = "The request's identifier.")
  private String request;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public ExplainRequestCommand(CommandContext context) {
    this.context = context;
  }

  @Override
  public Integer call() {
    RequestId id = new RequestId(request);
    try (Connection connection = connectionOptions.connect(context)) {
      RequestReport report = connection.fleet().explainRequest(id);
      if (output.json()) {
        context.console().printJson(report);
      } else {
        print(report);
      }
    }
    return 0;
  }

  private void print(RequestReport report) {
    TextTable head =
        new TextTable("REQUEST", report.request().value())
            .row("router", report.router())
            .row("cell", report.cell())
            .row("kind", report.kind())
            .row("shard", report.shard() < 0 ? null : report.shard())
            .row("verdict", report.verdict())
            .row("status", report.status());
    context.console().print(head.toText());
    context.console().printHeading("Steps");
    TextTable steps = new TextTable("MS", "STEP", "TARGET", "DETAIL");
    for (RequestStep step : report.steps()) {
      steps.row(step.sinceArrivalMs(), step.name(), step.target(), step.detail());
    }
    context.console().print(steps.toText());
  }
}
