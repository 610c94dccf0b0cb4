package io.cuminvalve.cli.command;

import io.cuminvalve.cli.fleet.Fleet;
import io.cuminvalve.ports.store.KeyValueStore;

/**
 * What a command needs of the running system.
 *
 * @param store the platform's store; not null
 * @param fleet our own processes; not null
 * @param onClose releases connections; not null
 * @since 0.1
 */
public record Connection(KeyValueStore store, Fleet fleet, Runnable onClose)
    implements AutoCloseable {

  @Override
  public void close() {
    onClose.run();
  }
}
