package io.cuminvalve.cli.command;

import io.cuminvalve.cli.publish.Baseline;
import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.ChangeRecord;
import io.cuminvalve.config.document.PublicationRecord;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.CodedException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Shows what changed, by whom and why.
 *
 * @since 0.1
 */
@Command(
    name = "history",
    description = "Shows publications, and changes of ownership with their reasons.",
    footer = {
      "",
      "Publications are kept with the configuration. Changes of ownership are what the",
      "controllers remember since they took their terms.",
      "",
      "Examples:",
      "  cuminvalve history",
      "  cuminvalve history --cell claims --limit 20 --json"
    })
public final class HistoryCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Option(names = "--cell", paramLabel = "CELL", description = "Show changes of this cell only.")
  private String cell;

  @Option(
      names = "--limit",
      paramLabel = "N",
      defaultValue = "50",
      description = "Show at most N entries of each kind. Default: ${DEFAULT-VALUE}.")
  private int limit;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public HistoryCommand(CommandContext context) {
    this.context = context;
  }

  /**
   * What changed.
   *
   * @param revision the newest configuration revision
   * @param publications newest first; not null
   * @param changes newest first; not null
   * @param incomplete why changes are missing; not null, empty if none are
   */
  record Result(
      long revision,
      List<PublicationRecord> publications,
      List<ChangeRecord> changes,
      String incomplete) {}

  @Override
  public Integer call() {
    try (Connection connection = connectionOptions.connect(context)) {
      Result result = collect(connection);
      if (output.json()) {
        context.console().printJson(result);
      } else {
        print(result);
      }
    }
    return 0;
  }

  private Result collect(Connection connection) {
    Baseline baseline = context.publisher(connection).read();
    List<PublicationRecord> publications =
        baseline.document().stream()
            .flatMap(document -> document.history().stream())
            .limit(limit)
            .toList();
    try {
      return new Result(baseline.revision(), publications, changes(connection), "");
    } catch (CodedException e) {
      return new Result(baseline.revision(), publications, List.of(), e.getMessage());
    }
  }

  private List<ChangeRecord> changes(Connection connection) {
    List<CellId> cells =
        cell == null
            ? connection.fleet().cells().stream().map(CellStatus::cell).toList()
            : List.of(new CellId(cell));
    List<ChangeRecord> changes = new ArrayList<>();
    cells.forEach(each -> changes.addAll(connection.fleet().history(each).changes()));
    changes.sort(Comparator.comparingLong(ChangeRecord::atEpochMs).reversed());
    return changes.stream().limit(limit).toList();
  }

  private void print(Result result) {
    context.console().printHeading("Publications; the newest is revision " + result.revision());
    context.console().print(ReportText.publications(result.publications()));
    context.console().print("");
    context.console().printHeading("Changes of ownership");
    context.console().print(ChangeText.of(result.changes()));
    if (!result.incomplete().isEmpty()) {
      context.console().progress("incomplete: " + result.incomplete());
    }
  }
}
