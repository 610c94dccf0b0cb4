package io.cuminvalve.cli.command;

import io.cuminvalve.config.check.ConfigurationFiles;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Options of commands that read an inventory and rules.
 *
 * @since 0.1
 */
final class ConfigurationOptions {

  private static final String INVENTORY = "inventory.json";
  private static final String RULES = "rules.json";

  @Parameters(
      arity = "0..1",
      paramLabel = "FOLDER",
      defaultValue = ".",
      description = "Holds inventory.json and rules.json. Default: the current folder.")
  private Path folder;

  @Option(
      names = {"-i", "--inventory"},
      paramLabel = "FILE",
      description = "The inventory, if it stands elsewhere.")
  private Path inventory;

  @Option(
      names = {"-r", "--rules"},
      paramLabel = "FILE",
      description = "The rules, if they stand elsewhere.")
  private Path rules;

  Path folder() {
    return folder;
  }

  Path inventoryPath() {
    return inventory == null ? folder.resolve(INVENTORY) : inventory;
  }

  Path rulesPath() {
    return rules == null ? folder.resolve(RULES) : rules;
  }

  ConfigurationFiles.Checked read() {
    return ConfigurationFiles.read(inventoryPath(), rulesPath());
  }
}
