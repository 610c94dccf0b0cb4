package io.cuminvalve.load.replay;

import io.cuminvalve.kernel.CommandProvider;

/**
 * Adds {@code replay} to the command line.
 *
 * @since 0.1
 */
public final class ReplayCommandProvider implements CommandProvider {

  /** Creates the provider; called by the service loader. */
  public ReplayCommandProvider() {}

  @Override
  public Object createCommand() {
    return new ReplayCommand();
  }
}
