package io.cuminvalve.demo.experiment;

import io.cuminvalve.kernel.CommandProvider;

/**
 * Adds {@code experiment} to the command line.
 *
 * @since 0.1
 */
public final class ExperimentCommandProvider implements CommandProvider {

  /** Creates the provider; called by the service loader. */
  public ExperimentCommandProvider() {}

  @Override
  public Object createCommand() {
    return new ExperimentCommand();
  }
}
