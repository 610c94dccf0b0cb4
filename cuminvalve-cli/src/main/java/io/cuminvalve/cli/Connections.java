package io.cuminvalve.cli;

import io.cuminvalve.cli.command.Connection;
import io.cuminvalve.cli.fleet.Fleet;
import io.cuminvalve.cli.fleet.HttpAdminClient;
import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.settings.OperatorSettings;
import io.cuminvalve.config.settings.SharedKeyFile;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.store.HttpKeyValueStore;
import java.util.List;
import java.util.UUID;

/**
 * Connects commands to the running system.
 *
 * @since 0.1
 */
final class Connections {

  private Connections() {}

  static Connection open(OperatorSettings settings) {
    BoundedHttpClient caller = new BoundedHttpClient("store", settings.callTimeoutMs());
    caller.start();
    List<String> storeAddresses =
        settings.storeAddresses().stream().map(IpAddresses::format).toList();
    HttpAdminClient admin =
        new HttpAdminClient(
            SharedKeyFile.read(settings.sharedKeyPath()),
            settings.callTimeoutMs(),
            System::currentTimeMillis);
    return new Connection(
        new HttpKeyValueStore(caller, storeAddresses, settings.callTimeoutMs()),
        new Fleet(admin, settings.controllerAddresses(), settings.routerAddresses()),
        () -> {
          admin.close();
          caller.stop();
        });
  }

  static void pauseMs(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static PublicationId newPublicationId() {
    return new PublicationId("pub-" + UUID.randomUUID());
  }
}
