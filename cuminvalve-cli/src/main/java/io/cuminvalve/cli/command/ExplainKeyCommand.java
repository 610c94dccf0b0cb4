package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.config.admin.KeyReport;
import io.cuminvalve.core.id.CellId;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Explains where a key is served.
 *
 * @since 0.1
 */
@Command(
    name = "key",
    description = "Shows hash, shard, owner, standby, token and last moves of a key.",
    footer = {"", "Example:", "  cuminvalve explain key --cell claims C-2041"})
public final class ExplainKeyCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Option(
      names = "--cell",
      paramLabel = "CELL",
      required = true,
      description = "The cell of the key; the same as the service today.")
  private String cell;

  @Parameters(paramLabel = "KEY", description = "The key, as it stands in requests.")
  private String key;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public ExplainKeyCommand(CommandContext context) {
    this.context = context;
  }

  @Override
  public Integer call() {
    try (Connection connection = connectionOptions.connect(context)) {
      KeyReport report = connection.fleet().explainKey(new CellId(cell), key);
      if (output.json()) {
        context.console().printJson(report);
      } else {
        print(report);
      }
    }
    return 0;
  }

  private void print(KeyReport report) {
    TextTable table =
        new TextTable("KEY", report.key())
            .row("cell", report.cell())
            .row("hash", report.hash())
            .row("shard", report.shard())
            .row("owner", report.owner())
            .row("standby", report.standby())
            .row("moving from", report.previousOwner())
            .row("token", report.token())
            .row("table", report.tableVersion())
            .row("open", report.open() ? "yes" : "no")
            .row("why", report.reason());
    context.console().print(table.toText());
    if (!report.lastMoves().isEmpty()) {
      context.console().printHeading("Last moves");
      context.console().print(ChangeText.of(report.lastMoves()));
    }
  }
}
