package io.cuminvalve.config.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What the operators' command line learns from its settings.
 *
 * @param storeAddresses the store's endpoints, tried in order; not null, not empty, copied
 * @param controllerAddresses admin addresses of all controllers; not null, not empty, copied
 * @param routerAddresses admin addresses of all routers; not null, may be empty, copied
 * @param sharedKeyPath the file that holds the key shared by our own processes; not null
 * @param callTimeoutMs how long one call may take; milliseconds
 * @since 0.1
 */
public record OperatorSettings(
    List<InetSocketAddress> storeAddresses,
    List<InetSocketAddress> controllerAddresses,
    List<InetSocketAddress> routerAddresses,
    Path sharedKeyPath,
    Long callTimeoutMs) {

  private static final long DEFAULT_CALL_TIMEOUT_MS = 3_000;

  /** Copies the lists and fills in defaults for what a settings file left out. */
  public OperatorSettings {
    storeAddresses = List.copyOf(storeAddresses);
    controllerAddresses = List.copyOf(controllerAddresses);
    routerAddresses = Lists.copyOrEmpty(routerAddresses);
    callTimeoutMs = callTimeoutMs == null ? DEFAULT_CALL_TIMEOUT_MS : callTimeoutMs;
  }
}
