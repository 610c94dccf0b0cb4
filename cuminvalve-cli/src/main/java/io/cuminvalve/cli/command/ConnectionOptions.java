package io.cuminvalve.cli.command;

import io.cuminvalve.config.settings.SettingsFiles;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/**
 * Options of commands that talk to the running system.
 *
 * @since 0.1
 */
final class ConnectionOptions {

  @Option(
      names = {"-s", "--settings"},
      paramLabel = "FILE",
      defaultValue = "${env:CUMINVALVE_SETTINGS:-operator.json}",
      description = {"Operator settings.", "Default: $CUMINVALVE_SETTINGS, else operator.json."})
  private Path settings;

  Connection connect(CommandContext context) {
    return context.connector().apply(SettingsFiles.operator(settings));
  }
}
