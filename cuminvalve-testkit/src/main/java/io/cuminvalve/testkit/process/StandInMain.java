package io.cuminvalve.testkit.process;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.testkit.hostlist.HostListStandIn;
import io.cuminvalve.testkit.ledger.FileLedger;
import io.cuminvalve.testkit.store.StoreStandIn;
import io.cuminvalve.testkit.target.TargetSettings;
import io.cuminvalve.testkit.target.TargetStandIn;
import io.cuminvalve.testkit.time.TaskScheduler;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The main class of stand-in processes. Prints {@code listening ADDRESS} once it serves.
 *
 * @since 0.1
 */
@Command(name = "stand-in", description = "Runs one stand-in of the platform or of a target.")
public final class StandInMain {

  /** What a stand-in prints before its address. */
  public static final String LISTENING = "listening ";

  private static final int QUEUE_LENGTH = 16;

  private StandInMain() {}

  /**
   * Runs until the process is ended.
   *
   * @param args a subcommand and its options; not null
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new StandInMain()).execute(args));
  }

  @Command(description = "The key-value store.")
  int store(@Option(names = "--port", defaultValue = "0") int port) {
    StoreStandIn store = new StoreStandIn(MillisClock.system(), TaskScheduler.system(), port);
    store.start();
    return serve(store.address());
  }

  @Command(name = "host-list", description = "The list of hosts.")
  int hostList(@Option(names = "--port", defaultValue = "0") int port) {
    HostListStandIn hostList = new HostListStandIn(TaskScheduler.system(), port);
    hostList.start();
    return serve(hostList.address());
  }

  @Command(description = "A target.")
  int target(
      @Parameters(paramLabel = "ID") String id,
      @Option(names = "--service", required = true) String service,
      @Option(names = "--capability", required = true) GrantCapability capability,
      @Option(names = "--slots", required = true) int slots,
      @Option(names = "--max-connections", defaultValue = "0") int maxConnections,
      @Option(names = "--port", defaultValue = "0") int port,
      @Option(names = "--work-ms", defaultValue = "4") long workMs,
      @Option(names = "--cold-ms", defaultValue = "0") long coldMs,
      @Option(names = "--ledger", required = true) Path ledger) {
    TargetSettings settings =
        new TargetSettings(
            new TargetId(id),
            new ServiceId(service),
            capability,
            slots,
            QUEUE_LENGTH,
            maxConnections,
            port,
            workMs,
            coldMs);
    TargetStandIn target =
        new TargetStandIn(
            settings,
            MillisClock.system(),
            TaskScheduler.system(),
            new FileLedger(ledger),
            () -> ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
    target.start();
    return serve(target.address());
  }

  private static int serve(String address) {
    System.out.println(LISTENING + address);
    System.out.flush();
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }
}
