package io.cuminvalve.cli.command;

import io.cuminvalve.config.check.CheckFailedException;
import io.cuminvalve.config.check.CheckReport;
import io.cuminvalve.config.settings.SettingsFiles;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Checks files without talking to anybody.
 *
 * @since 0.1
 */
@Command(
    name = "check",
    description = "Checks inventory, rules and settings offline; names every fault at once.",
    footer = {
      "",
      "Settings router.json, controller.json and operator.json are checked if the",
      "folder has them.",
      "",
      "Examples:",
      "  cuminvalve check examples/resguardo",
      "  cuminvalve check --inventory export.json --rules rules.json --json"
    })
public final class CheckCommand implements Callable<Integer> {

  private final CommandContext context;

  @Mixin private ConfigurationOptions configuration;
  @Mixin private OutputOptions output;

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   */
  public CheckCommand(CommandContext context) {
    this.context = context;
  }

  /**
   * The result of a check.
   *
   * @param files the files that were checked; not null
   * @param report what was found; not null
   */
  record Result(List<String> files, CheckReport report) {}

  @Override
  public Integer call() {
    Result result = check();
    if (output.json()) {
      context.console().printJson(result);
    } else {
      print(result);
    }
    return result.report().isClean() ? 0 : ErrorCode.INVALID_INPUT.exitStatus();
  }

  private Result check() {
    List<String> files = new ArrayList<>();
    files.add(configuration.inventoryPath().toString());
    files.add(configuration.rulesPath().toString());
    CheckReport report = reportOf(configuration::read);
    report = report.and(checkSettings("router.json", files, SettingsFiles::router));
    report = report.and(checkSettings("controller.json", files, SettingsFiles::controller));
    report = report.and(checkSettings("operator.json", files, SettingsFiles::operator));
    return new Result(files, report);
  }

  private CheckReport checkSettings(String name, List<String> files, Consumer<Path> reader) {
    Path path = configuration.folder().resolve(name);
    if (!Files.exists(path)) {
      return CheckReport.CLEAN;
    }
    files.add(path.toString());
    return reportOf(() -> reader.accept(path));
  }

  private static CheckReport reportOf(Runnable reader) {
    try {
      reader.run();
      return CheckReport.CLEAN;
    } catch (CheckFailedException e) {
      return e.report();
    }
  }

  private void print(Result result) {
    if (result.report().isClean()) {
      context.console().print("OK: " + String.join(", ", result.files()));
      return;
    }
    context.console().print(result.report().toText());
    int count = result.report().findings().size();
    context.console().error(ErrorCode.INVALID_INPUT, count + " fault(s); nothing was changed");
  }
}
