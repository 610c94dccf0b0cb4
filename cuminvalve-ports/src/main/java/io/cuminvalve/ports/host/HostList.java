package io.cuminvalve.ports.host;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's host list.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HostList {

  /**
   * Fetches the list.
   *
   * @return completes normally within a bounded time; empty if the list is not available
   */
  CompletableFuture<Optional<List<Host>>> hosts();
}
