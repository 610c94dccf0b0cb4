package io.cuminvalve.load.command;

import io.cuminvalve.kernel.CommandProvider;

/**
 * Adds {@code load} to the command line.
 *
 * @since 0.1
 */
public final class LoadCommandProvider implements CommandProvider {

  /** Creates the provider; called by the service loader. */
  public LoadCommandProvider() {}

  @Override
  public Object createCommand() {
    return new LoadCommand();
  }
}
