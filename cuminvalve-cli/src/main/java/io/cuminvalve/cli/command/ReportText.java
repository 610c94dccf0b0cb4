package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.cli.publish.PlacementEffect;
import io.cuminvalve.config.document.ConfigurationChange;
import io.cuminvalve.config.document.PublicationRecord;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;

/**
 * Texts that several commands write.
 *
 * @since 0.1
 */
final class ReportText {

  private ReportText() {}

  static String changes(List<ConfigurationChange> changes) {
    TextTable table = new TextTable("CHANGE", "ENTRY", "DETAIL");
    for (ConfigurationChange change : changes) {
      table.row(change.kind(), change.entry(), change.detail());
    }
    return table.toText();
  }

  static String effects(List<PlacementEffect> effects) {
    TextTable table =
        new TextTable("CELL", "SHARDS TO MOVE", "OF", "IMBALANCE NOW", "IMBALANCE AFTER");
    for (PlacementEffect effect : effects) {
      table.row(
          effect.cell(),
          effect.shardsToMove(),
          effect.shardCount(),
          ratio(effect.imbalanceBefore()),
          ratio(effect.imbalanceAfter()));
    }
    return table.toText();
  }

  static String publications(List<PublicationRecord> publications) {
    TextTable table = new TextTable("TIME", "PUBLICATION", "BY", "REPLACED", "CHANGES", "REASON");
    for (PublicationRecord entry : publications) {
      table.row(
          time(entry.publishedAtEpochMs()),
          entry.publication(),
          entry.publishedBy(),
          entry.baseRevision(),
          entry.summary(),
          entry.reason());
    }
    return table.toText();
  }

  static String time(long epochMs) {
    return Instant.ofEpochMilli(epochMs).truncatedTo(ChronoUnit.MILLIS).toString();
  }

  static String ratio(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
