package io.cuminvalve.cli;

import picocli.CommandLine.IVersionProvider;

/**
 * Tells the version that the build wrote into the package.
 *
 * @since 0.1
 */
final class VersionProvider implements IVersionProvider {

  @Override
  public String[] getVersion() {
    String version = Cuminvalve.class.getPackage().getImplementationVersion();
    return new String[] {"cuminvalve " + (version == null ? "development build" : version)};
  }
}
