package io.cuminvalve.cli.command;

import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.DrainReport;
import io.cuminvalve.config.admin.DrainRequest;
import io.cuminvalve.config.admin.TargetStatus;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.ErrorCode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Moves everything off a target.
 *
 * @since 0.1
 */
@Command(
    name = "drain",
    description = "Moves every shard off a target; requests in flight end first.",
    footer = {
      "",
      "Examples:",
      "  cuminvalve drain claims-07 --reason \"kernel update\"",
      "  cuminvalve drain claims-07 --cancel"
    })
public final class DrainCommand implements Callable<Integer> {

  private static final long POLL_MS = 100;

  private final CommandContext context;

  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Parameters(paramLabel = "TARGET", description = "The target's identifier.")
  private String target;

  @Option(names = "--cancel", description = "End an earlier drain.")
  private boolean cancel;

  @Option(names = "--reason", defaultValue = "", description = "Why; shown by history.")
  private String reason;

  @Option(names = "--no-wait", description = "Do not wait until the target owns nothing.")
  private boolean noWait;

  @Option(
      names = "--wait-ms",
      paramLabel = "MS",
      defaultValue = "60000",
      description = "How long to wait until it owns nothing. Default: ${DEFAULT-VALUE}.")
  private long waitMs;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public DrainCommand(CommandContext context) {
    this.context = context;
  }

  @Override
  public Integer call() {
    DrainRequest request =
        new DrainRequest(new TargetId(target), cancel, context.operator(), reason);
    try (Connection connection = connectionOptions.connect(context)) {
      DrainReport report = connection.fleet().drain(request);
      if (!cancel && !noWait) {
        report = awaitEmpty(connection, report);
      }
      if (output.json()) {
        context.console().printJson(report);
      } else {
        context
            .console()
            .print(
                "%s: %s, owns %d shard(s)"
                    .formatted(report.target(), report.state(), report.ownedShards()));
      }
      return cancel || noWait || report.ownedShards() == 0 ? 0 : reportTimeout(report);
    }
  }

  private DrainReport awaitEmpty(Connection connection, DrainReport first) {
    long startMs = context.clock().nowMs();
    DrainReport report = first;
    while (report.ownedShards() > 0 && context.clock().nowMs() - startMs < waitMs) {
      context.pauseMs().accept(POLL_MS);
      report = look(connection, report);
    }
    return report;
  }

  /** Looks again; keeps the earlier report while the cell can't be seen. */
  private static DrainReport look(Connection connection, DrainReport earlier) {
    for (CellStatus status : connection.fleet().cells()) {
      CellId cell = status.cell();
      for (TargetStatus each : status.targets()) {
        if (cell.equals(earlier.cell()) && each.id().equals(earlier.target())) {
          return new DrainReport(cell, each.id(), each.state(), each.ownedShards());
        }
      }
    }
    return earlier;
  }

  private int reportTimeout(DrainReport report) {
    context
        .console()
        .error(
            ErrorCode.TIMEOUT,
            "%s still owns %d shard(s); the drain goes on"
                .formatted(report.target(), report.ownedShards()));
    return ErrorCode.TIMEOUT.exitStatus();
  }
}
