package io.cuminvalve.cli;

import io.cuminvalve.cli.command.CheckCommand;
import io.cuminvalve.cli.command.CommandContext;
import io.cuminvalve.cli.command.DiffCommand;
import io.cuminvalve.cli.command.DrainCommand;
import io.cuminvalve.cli.command.ExplainCommand;
import io.cuminvalve.cli.command.ExplainKeyCommand;
import io.cuminvalve.cli.command.ExplainLogCommand;
import io.cuminvalve.cli.command.ExplainRequestCommand;
import io.cuminvalve.cli.command.HistoryCommand;
import io.cuminvalve.cli.command.PublishCommand;
import io.cuminvalve.cli.command.StatusCommand;
import io.cuminvalve.cli.console.Console;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.CommandProvider;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import java.io.PrintWriter;
import java.util.ServiceLoader;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.ParseResult;

/**
 * The operators' command line.
 *
 * @since 0.1
 */
@Command(
    name = "cuminvalve",
    description = "Operates cuminvalve, a router for servers that own keys exclusively.",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider.class,
    synopsisSubcommandLabel = "COMMAND",
    exitCodeListHeading = "%nExit status:%n",
    exitCodeList = {
      "0:Done.",
      "2:INVALID_INPUT. An argument, file or setting is wrong; nothing was changed.",
      "3:CONFLICT. Another change came first; nothing was overwritten.",
      "4:UNAVAILABLE. A process or the store can't be reached.",
      "5:TIMEOUT. Not finished in time; it may go on.",
      "6:PROTOCOL. An answer can't be understood; versions or keys may differ.",
      "70:INTERNAL. A fault of this program."
    },
    footerHeading = "%nExamples:%n",
    footer = {
      "  cuminvalve check examples/resguardo",
      "  cuminvalve publish examples/resguardo --settings operator.json --dry-run",
      "  cuminvalve status --json",
      "  cuminvalve explain key --cell claims C-2041",
      "  source <(cuminvalve generate-completion)"
    })
public final class Cuminvalve {

  /**
   * Runs the command and ends the process.
   *
   * @param arguments the command line; not null
   */
  public static void main(String... arguments) {
    PrintWriter out = new PrintWriter(System.out, true);
    PrintWriter err = new PrintWriter(System.err, true);
    System.exit(run(out, err, arguments));
  }

  /**
   * Runs the command against the running system.
   *
   * @param out for results; not null
   * @param err for progress and errors; not null
   * @param arguments the command line; not null
   * @return the exit status
   */
  public static int run(PrintWriter out, PrintWriter err, String... arguments) {
    Console console = new Console(out, err, Ansi.AUTO);
    CommandContext context =
        new CommandContext(
            console,
            Connections::open,
            MillisClock.system(),
            System::currentTimeMillis,
            Connections::pauseMs,
            Connections::newPublicationId,
            System.getProperty("user.name", "unknown"));
    return commandLine(context, out, err).execute(arguments);
  }

  /**
   * Assembles the command line.
   *
   * @param context what commands depend on; not null
   * @param out for help; not null
   * @param err for errors; not null
   * @return the command line, ready to execute
   */
  public static CommandLine commandLine(CommandContext context, PrintWriter out, PrintWriter err) {
    CommandLine explain =
        new CommandLine(new ExplainCommand())
            .addSubcommand(new ExplainKeyCommand(context))
            .addSubcommand(new ExplainRequestCommand(context))
            .addSubcommand(new ExplainLogCommand(context, System.in));
    CommandLine commandLine =
        new CommandLine(new Cuminvalve())
            .addSubcommand(new CheckCommand(context))
            .addSubcommand(new DiffCommand(context))
            .addSubcommand(new PublishCommand(context))
            .addSubcommand(new StatusCommand(context))
            .addSubcommand(explain)
            .addSubcommand(new HistoryCommand(context))
            .addSubcommand(new DrainCommand(context));
    ServiceLoader.load(CommandProvider.class)
        .forEach(provider -> commandLine.addSubcommand(provider.createCommand()));
    commandLine.addSubcommand(new AutoComplete.GenerateCompletion());
    commandLine.setOut(out);
    commandLine.setErr(err);
    commandLine.setCaseInsensitiveEnumValuesAllowed(true);
    commandLine.setExecutionExceptionHandler(
        (failure, command, result) -> handle(failure, context.console(), result));
    addHelp(commandLine);
    return commandLine;
  }

  /** Gives every subcommand the option {@code --help}. */
  private static void addHelp(CommandLine commandLine) {
    for (CommandLine subcommand : commandLine.getSubcommands().values()) {
      if (!subcommand.getCommandSpec().mixinStandardHelpOptions()) {
        subcommand.getCommandSpec().mixinStandardHelpOptions(true);
      }
      addHelp(subcommand);
    }
  }

  private static int handle(Exception failure, Console console, ParseResult result) {
    if (failure instanceof CodedException coded) {
      console.error(coded.code(), coded.getMessage());
      return coded.code().exitStatus();
    }
    console.error(ErrorCode.INTERNAL, failure.toString());
    return ErrorCode.INTERNAL.exitStatus();
  }
}
