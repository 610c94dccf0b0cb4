package io.cuminvalve.ports.fleet;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the registry in which targets announce themselves.
 *
 * <p>Every future completes normally, within a bounded time.
 *
 * @since 0.2
 */
public interface TargetRegistry {

  /**
   * Reads all registrations, none of them older than the call.
   *
   * @return never null
   */
  CompletableFuture<RegistryListing> list();

  /**
   * Reads all registrations where an answer that is some seconds old does. May cost less than
   * {@link #list}.
   *
   * @return never null
   */
  default CompletableFuture<RegistryListing> listStale() {
    return list();
  }

  /**
   * Waits for changes.
   *
   * @param afterRevision the revision up to which the caller knows everything
   * @param waitMs how long to wait; milliseconds
   * @return never null
   */
  CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs);
}
