package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.config.admin.ChangeRecord;
import java.util.List;

/**
 * Lays out changes of cells.
 *
 * @since 0.1
 */
final class ChangeText {

  private ChangeText() {}

  static String of(List<ChangeRecord> changes) {
    TextTable table =
        new TextTable("TIME", "CELL", "TABLE", "KIND", "BY", "SHARDS", "REASON", "DETAIL");
    for (ChangeRecord change : changes) {
      table.row(
          ReportText.time(change.atEpochMs()),
          change.cell(),
          change.tableVersion(),
          change.kind(),
          change.actor(),
          change.shardsMoved(),
          change.reason(),
          change.detail());
    }
    return table.toText();
  }
}
