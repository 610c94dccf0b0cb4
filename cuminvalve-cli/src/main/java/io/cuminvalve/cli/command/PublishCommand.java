package io.cuminvalve.cli.command;

import io.cuminvalve.cli.publish.Baseline;
import io.cuminvalve.cli.publish.InForceWait;
import io.cuminvalve.cli.publish.PlacementEffect;
import io.cuminvalve.cli.publish.Proposal;
import io.cuminvalve.cli.publish.PublishReport;
import io.cuminvalve.cli.publish.PublishResult;
import io.cuminvalve.cli.publish.PublishResult.Outcome;
import io.cuminvalve.cli.publish.Publisher;
import io.cuminvalve.config.check.CheckFailedException;
import io.cuminvalve.config.check.CheckReport;
import io.cuminvalve.config.check.ConfigurationFiles;
import io.cuminvalve.config.document.ConfigurationChange;
import io.cuminvalve.config.document.ConfigurationDifference;
import io.cuminvalve.config.document.PublicationRecord;
import io.cuminvalve.config.document.ShardCountCheck;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Publishes an inventory and rules.
 *
 * @since 0.1
 */
@Command(
    name = "publish",
    description = "Publishes an inventory and rules, and waits until they are in force everywhere.",
    footer = {
      "",
      "Shows the difference and its effect first. Nothing is ever overwritten: if",
      "somebody else published meanwhile, the command says what changed and ends with",
      "status 3.",
      "",
      "Examples:",
      "  cuminvalve publish examples/resguardo --reason \"two more instances\"",
      "  cuminvalve publish --dry-run",
      "  cuminvalve publish --expect-revision 41 --no-wait --json"
    })
public final class PublishCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConfigurationOptions configuration;
  @Mixin private ConnectionOptions connectionOptions;
  @Mixin private OutputOptions output;

  @Option(names = "--reason", defaultValue = "", description = "Why; shown by history.")
  private String reason;

  @Option(names = "--by", description = "Who publishes. Default: the user of this session.")
  private String publishedBy;

  @Option(names = "--dry-run", description = "Show the difference and its effect, write nothing.")
  private boolean dryRun;

  @Option(
      names = "--expect-revision",
      paramLabel = "N",
      description = "Publish only if revision N is still the newest.")
  private Long expectedRevision;

  @Option(names = "--no-wait", description = "Do not wait until it is in force.")
  private boolean noWait;

  @Option(
      names = "--wait-ms",
      paramLabel = "MS",
      defaultValue = "10000",
      description = "How long to wait until it is in force. Default: ${DEFAULT-VALUE}.")
  private long waitMs;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public PublishCommand(CommandContext context) {
    this.context = context;
  }

  @Override
  public Integer call() {
    ConfigurationFiles.Checked checked = configuration.read();
    String operator = publishedBy == null ? context.operator() : publishedBy;
    Proposal proposal = new Proposal(checked.inventory(), checked.rules(), operator, reason);
    try (Connection connection = connectionOptions.connect(context)) {
      return publish(proposal, connection);
    }
  }

  private int publish(Proposal proposal, Connection connection) {
    Publisher publisher = context.publisher(connection);
    Baseline baseline = publisher.read();
    requireExpected(baseline);
    requireSameShardCounts(proposal, baseline);
    List<ConfigurationChange> changes = baseline.differenceTo(proposal).changes();
    List<PlacementEffect> effects = context.forecast(connection).of(proposal.inventory());
    showPreview(baseline, changes, effects);
    if (changes.isEmpty() || dryRun) {
      String nothing =
          changes.isEmpty() ? "No change: nothing published." : "Dry run: not published.";
      finish(new PublishReport(null, null, baseline.revision(), changes, effects, null), nothing);
      return 0;
    }
    PublishResult result = publisher.publish(proposal, baseline);
    requirePublished(result, baseline);
    return awaitInForce(proposal, connection, result, changes, effects);
  }

  private void requireExpected(Baseline baseline) {
    if (expectedRevision != null && expectedRevision != baseline.revision()) {
      throw new CodedException(
          ErrorCode.CONFLICT,
          "revision %d was expected, but %d is the newest%s"
              .formatted(expectedRevision, baseline.revision(), since(baseline, expectedRevision)));
    }
  }

  private static void requireSameShardCounts(Proposal proposal, Baseline baseline) {
    CheckReport report =
        baseline
            .document()
            .map(
                older ->
                    ShardCountCheck.check(older.configuration().inventory(), proposal.inventory()))
            .orElse(CheckReport.CLEAN);
    if (!report.isClean()) {
      throw new CheckFailedException(report);
    }
  }

  private void requirePublished(PublishResult result, Baseline baseline) {
    if (result.outcome() == Outcome.CONFLICT) {
      throw conflict(result, baseline);
    }
    if (result.outcome() == Outcome.NOT_SENT) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE, "the store can't be reached; nothing was published");
    }
    if (result.outcome() == Outcome.UNRESOLVED) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE,
          "the store stopped answering: publication %s may have taken effect or may still do so;"
                  .formatted(result.publication())
              + " look for it with 'cuminvalve history' before publishing again");
    }
  }

  private static CodedException conflict(PublishResult result, Baseline baseline) {
    ConfigurationDifference difference = differenceOf(baseline, result.current());
    return new CodedException(
        ErrorCode.CONFLICT,
        "revision %d replaced %d, from which you started; nothing of yours was written%s%n%s"
            .formatted(
                result.current().revision(),
                baseline.revision(),
                since(result.current(), baseline.revision()),
                ReportText.changes(difference.changes())));
  }

  private static ConfigurationDifference differenceOf(Baseline older, Baseline newer) {
    Configuration now = newer.document().orElseThrow().configuration();
    return older.differenceTo(
        new Proposal(now.inventory(), now.rules(), now.publishedBy(), now.reason()));
  }

  /** Lists the publications that came after a revision. */
  private static String since(Baseline newest, long revision) {
    List<PublicationRecord> later =
        newest.document().stream()
            .flatMap(document -> document.history().stream())
            .filter(entry -> entry.baseRevision() >= revision)
            .toList();
    return later.isEmpty() ? "" : System.lineSeparator() + ReportText.publications(later);
  }

  private void showPreview(
      Baseline baseline, List<ConfigurationChange> changes, List<PlacementEffect> effects) {
    if (output.json() || changes.isEmpty()) {
      return;
    }
    context.console().printHeading("Difference to revision " + baseline.revision());
    context.console().print(ReportText.changes(changes));
    context.console().printHeading("Effect");
    context.console().print(ReportText.effects(effects));
  }

  private int awaitInForce(
      Proposal proposal,
      Connection connection,
      PublishResult result,
      List<ConfigurationChange> changes,
      List<PlacementEffect> effects) {
    long revision = result.current().revision();
    String published =
        "Published as revision %d (publication %s).".formatted(revision, result.publication());
    if (result.outcome() == Outcome.PUBLISHED_AND_FOLLOWED) {
      published =
          "Published (publication %s); revision %d of %s has followed since."
              .formatted(
                  result.publication(),
                  revision,
                  result.current().document().orElseThrow().configuration().publishedBy());
    }
    InForceWait.Result inForce = noWait ? null : await(proposal, connection, revision, published);
    finish(
        new PublishReport(
            result.outcome(), result.publication(), revision, changes, effects, inForce),
        noWait ? published : inForceText(inForce));
    return noWait || inForce.inForce() ? 0 : reportBehind(inForce);
  }

  private InForceWait.Result await(
      Proposal proposal, Connection connection, long revision, String published) {
    if (!output.json()) {
      context.console().print(published);
    }
    List<CellId> cells =
        proposal.inventory().services().stream()
            .map(service -> new CellId(service.id().value()))
            .toList();
    return context.inForceWait(connection).await(revision, cells, waitMs);
  }

  private static String inForceText(InForceWait.Result inForce) {
    return inForce.inForce()
        ? "In force on all %d registered routers after %d ms."
            .formatted(inForce.routerCount(), inForce.elapsedMs())
        : "Not in force everywhere after %d ms.".formatted(inForce.elapsedMs());
  }

  private int reportBehind(InForceWait.Result inForce) {
    context
        .console()
        .error(ErrorCode.TIMEOUT, "published, but behind: " + String.join("; ", inForce.behind()));
    return ErrorCode.TIMEOUT.exitStatus();
  }

  private void finish(PublishReport report, String text) {
    if (output.json()) {
      context.console().printJson(report);
    } else {
      context.console().print(text);
    }
  }
}
