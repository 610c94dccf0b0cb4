package io.cuminvalve.router;

import io.cuminvalve.config.check.CheckFailedException;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.config.settings.SettingsFiles;
import io.cuminvalve.config.settings.SharedKeyFile;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.router.observe.JsonLinesTrace;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program {@code cuminvalve-router}.
 *
 * @since 0.1
 */
@Command(
    name = "cuminvalve-router",
    mixinStandardHelpOptions = true,
    version = "cuminvalve-router 0.1",
    description = "Takes requests of callers and sends each to the one owner of its key.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "2:settings are wrong; every fault is named",
      "4:a port cannot be opened",
      "70:a fault in this program",
      "143:stopped by SIGTERM, in a planned way"
    },
    footer = {
      "%nExample:",
      "  cuminvalve-router --settings examples/resguardo/router.json",
      "SIGTERM stops it in a planned way: requests in flight end first."
    })
public final class RouterMain implements Callable<Integer> {

  @Option(
      names = {"-s", "--settings"},
      required = true,
      paramLabel = "FILE",
      description = "the JSON settings of this router")
  private Path settingsPath;

  @Option(
      names = "--access-trace",
      paramLabel = "FILE",
      description = "write each finished request to this file, as JSON Lines for replay")
  private Path tracePath;

  /**
   * Runs the program.
   *
   * @param arguments the command line; not null
   */
  public static void main(String[] arguments) {
    int status =
        new CommandLine(new RouterMain())
            .setExecutionExceptionHandler((failure, command, parsed) -> report(failure, command))
            .execute(arguments);
    System.exit(status);
  }

  @Override
  public Integer call() throws InterruptedException, IOException {
    RouterSettings settings = SettingsFiles.router(settingsPath);
    SharedKey sharedKey = SharedKeyFile.read(settings.sharedKeyPath());
    if (tracePath == null) {
      run(new Router(settings, sharedKey));
      return 0;
    }
    Writer output = Files.newBufferedWriter(tracePath, StandardCharsets.UTF_8);
    JsonLinesTrace trace = new JsonLinesTrace(settings.id(), output);
    trace.start();
    run(new Router(settings, sharedKey, trace));
    trace.stop();
    return 0;
  }

  private static void run(Router router) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router, stopped), "stop"));
    router.start();
    stopped.await();
  }

  private static void stop(Router router, CountDownLatch stopped) {
    router.stop();
    stopped.countDown();
  }

  private static int report(Exception failure, CommandLine command) throws Exception {
    if (failure instanceof CheckFailedException check) {
      command.getErr().println(check.getMessage());
      return check.code().exitStatus();
    }
    if (failure instanceof CodedException coded) {
      command.getErr().println(coded.getMessage() + " " + coded.code().remedy());
      return coded.code().exitStatus();
    }
    Logger.error(failure, "Unexpected failure");
    throw failure;
  }
}
