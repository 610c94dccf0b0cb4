package io.cuminvalve.ports.fleet;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the registry in which targets register.
 *
 * <p>Every future completes normally, within a bounded time.
 *
 * @since 0.2
 */
public interface TargetRegistry {

  /**
   * Reads all registrations. The result is not older than the call.
   *
   * @return never null
   */
  CompletableFuture<RegistryListing> list();

  /**
   * Reads all registrations. The result may be some seconds old; may be cheaper than {@link #list}.
   *
   * @return never null
   */
  default CompletableFuture<RegistryListing> listStale() {
    return list();
  }

  /**
   * Waits for changes.
   *
   * @param afterRevision the revision up to which all changes are known
   * @param waitMs the maximum time to wait; milliseconds
   * @return never null
   */
  CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs);
}
