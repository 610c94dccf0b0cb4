package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.RouterStatus;
import io.cuminvalve.config.admin.TargetStatus;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Shows the state of the cells.
 *
 * @since 0.1
 */
@Command(
    name = "status",
    description = "Shows cells, terms, table versions, routers that are behind, and targets.",
    footer = {"", "Examples:", "  cuminvalve status", "  cuminvalve status --cell claims --json"})
public final class StatusCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Option(names = "--cell", paramLabel = "CELL", description = "Show this cell only.")
  private String cell;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public StatusCommand(CommandContext context) {
    this.context = context;
  }

  /**
   * The state of the cells, each by the controller that knows best.
   *
   * @param cells one entry for each cell; not null
   */
  record Result(List<CellStatus> cells) {}

  @Override
  public Integer call() {
    try (Connection connection = connectionOptions.connect(context)) {
      List<CellStatus> cells = select(connection.fleet().cells());
      if (output.json()) {
        context.console().printJson(new Result(cells));
      } else {
        print(cells);
      }
    }
    return 0;
  }

  private List<CellStatus> select(List<CellStatus> all) {
    if (cell == null) {
      return all;
    }
    CellId wanted = new CellId(cell);
    List<CellStatus> selected =
        all.stream().filter(status -> status.cell().equals(wanted)).toList();
    if (selected.isEmpty()) {
      throw new CodedException(ErrorCode.INVALID_INPUT, "no controller knows cell " + cell);
    }
    return selected;
  }

  private void print(List<CellStatus> cells) {
    TextTable overview =
        new TextTable(
            "CELL",
            "HOLDER",
            "TERM",
            "TABLE",
            "CONFIG",
            "STORE",
            "SHARDS",
            "UNAVAILABLE",
            "MOVING",
            "IMBALANCE",
            "MOVES/MIN",
            "BEHIND");
    for (CellStatus status : cells) {
      overview.row(
          status.cell(),
          status.holder(),
          status.term(),
          status.tableVersion(),
          status.configRevision(),
          status.storeReachable() ? "up" : "DOWN",
          status.shardCount(),
          status.unavailableShards(),
          status.movingShards(),
          ReportText.ratio(status.imbalance()),
          status.movesLastMinute(),
          status.routers().stream().filter(router -> isBehind(router, status)).count());
    }
    context.console().print(overview.toText());
    cells.forEach(this::printCell);
  }

  private void printCell(CellStatus status) {
    context.console().print("");
    context.console().printHeading("Routers of " + status.cell());
    TextTable routers =
        new TextTable(
            "ROUTER", "DATA CENTRE", "WITNESS", "LEARNED", "TABLE", "CONFIG", "HEARD MS AGO", "");
    for (RouterStatus router : status.routers()) {
      routers.row(
          router.id(),
          router.dataCentre(),
          yesNo(router.witness()),
          yesNo(router.learned()),
          router.tableVersion(),
          router.configRevision(),
          router.lastHeardAgoMs() < 0 ? "never" : router.lastHeardAgoMs(),
          isBehind(router, status) ? "BEHIND" : "");
    }
    context.console().print(routers.toText());
    context.console().printHeading("Targets of " + status.cell());
    TextTable targets = new TextTable("TARGET", "DATA CENTRE", "STATE", "OWNS", "STANDBY", "LOAD");
    for (TargetStatus target : status.targets()) {
      targets.row(
          target.id(),
          target.dataCentre(),
          target.state(),
          target.ownedShards(),
          target.standbyShards(),
          ReportText.ratio(target.load()));
    }
    context.console().print(targets.toText());
  }

  private static boolean isBehind(RouterStatus router, CellStatus status) {
    return router.configRevision() < status.configRevision()
        || !router.tableVersion().equals(status.tableVersion());
  }

  private static String yesNo(boolean value) {
    return value ? "yes" : "no";
  }
}
