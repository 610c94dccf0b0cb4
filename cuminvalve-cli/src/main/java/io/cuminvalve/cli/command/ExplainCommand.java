package io.cuminvalve.cli.command;

import picocli.CommandLine.Command;

/**
 * Groups the commands that explain a decision.
 *
 * @since 0.1
 */
@Command(
    name = "explain",
    description = "Explains where a key is served, or what became of a request, also from logs.",
    synopsisSubcommandLabel = "COMMAND",
    footer = {
      "",
      "Examples:",
      "  cuminvalve explain key --cell claims C-2041",
      "  cuminvalve explain request entry-01-42",
      "  cuminvalve explain log --request 5d0c1f7e2a9b4836 gateway-*.log"
    })
public final class ExplainCommand {}
