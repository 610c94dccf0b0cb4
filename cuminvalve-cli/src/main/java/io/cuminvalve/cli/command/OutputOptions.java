package io.cuminvalve.cli.command;

import picocli.CommandLine.Option;

/**
 * Options of commands that have a result.
 *
 * @since 0.1
 */
final class OutputOptions {

  @Option(names = "--json", description = "Write the result as one JSON document.")
  private boolean json;

  boolean json() {
    return json;
  }
}
