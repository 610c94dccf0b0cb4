package io.cuminvalve.demo;

import io.cuminvalve.kernel.CommandProvider;

/**
 * Adds {@code demo} to the command line.
 *
 * @since 0.1
 */
public final class DemoCommandProvider implements CommandProvider {

  /** Creates the provider; called by the service loader. */
  public DemoCommandProvider() {}

  @Override
  public Object createCommand() {
    return new DemoCommand();
  }
}
