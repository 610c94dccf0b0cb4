package io.cuminvalve.controller;

import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.config.settings.SettingsFiles;
import io.cuminvalve.config.settings.SharedKeyFile;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program {@code cuminvalve-controller}.
 *
 * @since 0.1
 */
@Command(
    name = "cuminvalve-controller",
    mixinStandardHelpOptions = true,
    version = "cuminvalve-controller 0.1.0",
    description = "Holds the term of its cells or waits for it.",
    footer = {
      "",
      "Example:",
      "  cuminvalve-controller --settings /etc/cuminvalve/controller.json",
      "",
      "SIGTERM gives up the terms and stops.",
      "Exit status: 143 after SIGTERM, 2 for bad settings, 4 if a port cannot be",
      "opened, 70 for a fault in the program."
    })
public final class ControllerMain implements Callable<Integer> {

  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      description = "The settings, a JSON file.")
  private Path settingsPath;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  private ControllerMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line; not null
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String... args) {
    return new CommandLine(new ControllerMain())
        .setExecutionExceptionHandler(ControllerMain::report)
        .execute(args);
  }

  /**
   * Runs a controller until the process is told to stop.
   *
   * @return the exit status
   * @throws CodedException with code INTERNAL if the controller gave up
   */
  @Override
  public Integer call() {
    ControllerSettings settings = SettingsFiles.controller(settingsPath);
    if (checkOnly) {
      return 0;
    }
    Controller controller =
        Controller.overHttp(settings, SharedKeyFile.read(settings.sharedKeyPath()));
    controller.start();
    Runtime.getRuntime().addShutdownHook(new Thread(controller::stop, "shutdown"));
    Throwable fault = controller.failed().join();
    throw new CodedException(ErrorCode.INTERNAL, "the control thread fails: " + fault, fault);
  }

  private static int report(Exception failure, CommandLine command, CommandLine.ParseResult args) {
    ErrorCode code = failure instanceof CodedException coded ? coded.code() : ErrorCode.INTERNAL;
    command.getErr().println(code + ": " + failure.getMessage());
    command.getErr().println(code.remedy());
    return code.exitStatus();
  }
}
