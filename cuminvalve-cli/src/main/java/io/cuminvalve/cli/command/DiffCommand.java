package io.cuminvalve.cli.command;

import io.cuminvalve.cli.publish.Baseline;
import io.cuminvalve.cli.publish.PlacementEffect;
import io.cuminvalve.cli.publish.Proposal;
import io.cuminvalve.cli.publish.PublishReport;
import io.cuminvalve.config.check.ConfigurationFiles;
import io.cuminvalve.config.document.ConfigurationChange;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows what publishing would change.
 *
 * @since 0.1
 */
@Command(
    name = "diff",
    description = "Shows what publishing these files would change, and its effect.",
    footer = {
      "",
      "Imbalance is the highest load per slot over the mean, with load spread evenly",
      "over shards.",
      "",
      "Examples:",
      "  cuminvalve diff examples/resguardo",
      "  cuminvalve diff --inventory export.json --rules rules.json --json"
    })
public final class DiffCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConfigurationOptions configuration;
  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public DiffCommand(CommandContext context) {
    this.context = context;
  }

  @Override
  public Integer call() {
    ConfigurationFiles.Checked checked = configuration.read();
    try (Connection connection = connectionOptions.connect(context)) {
      Baseline baseline = context.publisher(connection).read();
      Proposal proposal =
          new Proposal(checked.inventory(), checked.rules(), context.operator(), "");
      List<ConfigurationChange> changes = baseline.differenceTo(proposal).changes();
      List<PlacementEffect> effects = context.forecast(connection).of(checked.inventory());
      if (output.json()) {
        context
            .console()
            .printJson(new PublishReport(null, null, baseline.revision(), changes, effects, null));
      } else {
        print(baseline, changes, effects);
      }
    }
    return 0;
  }

  private void print(
      Baseline baseline, List<ConfigurationChange> changes, List<PlacementEffect> effects) {
    context.console().printHeading("Difference to revision " + baseline.revision());
    context.console().print(changes.isEmpty() ? "none" : ReportText.changes(changes));
    context.console().printHeading("Effect");
    context.console().print(ReportText.effects(effects));
  }
}
