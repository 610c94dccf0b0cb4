package io.cuminvalve.ports.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's key-value store.
 *
 * <p>Every future completes normally, within a bounded time, with a result that carries its
 * outcome. Futures complete on a thread of the implementation: switch to the control thread.
 *
 * <p>A key that ends with a slash names a directory, which implementations may support for reads
 * and watches only: its value is a {@link DirectoryValue}.
 *
 * @since 0.1
 */
public interface KeyValueStore {

  /** The expected revision of a key that must not exist. */
  long ABSENT = 0;

  /**
   * Returns the newest epoch that the store has reported. It increases when the store is restored
   * from an older snapshot and has lost writes that it acknowledged since; revisions of a later
   * epoch are greater than all of the earlier ones.
   *
   * @return 0 if the store reports none
   */
  default long epoch() {
    return 0;
  }

  /**
   * Sets the listener that is called once each time the store reports a later epoch than before.
   *
   * @param listener called on a thread of the implementation; must not block; not null
   */
  default void onEpoch(Runnable listener) {}

  /**
   * Reads a key with a linearizable read.
   *
   * @param key the key; not null
   * @return never null
   */
  CompletableFuture<ReadResult> read(String key);

  /**
   * Reads a key. The result may be some seconds old; may be cheaper than {@link #read}.
   *
   * @param key the key; not null
   * @return never null
   */
  default CompletableFuture<ReadResult> readStale(String key) {
    return read(key);
  }

  /**
   * Writes a key if its revision is the expected one.
   *
   * @param key the key; not null
   * @param value the new value; at most 1 MB
   * @param expectedRevision the revision to replace, or {@link #ABSENT}
   * @param lease the lease that the key is tied to, if any; not null
   * @return never null
   */
  CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease);

  /**
   * Deletes a key if its revision is the expected one.
   *
   * @param key the key; not null
   * @param expectedRevision the revision to delete
   * @return never null
   */
  CompletableFuture<WriteResult> delete(String key, long expectedRevision);

  /**
   * Waits until the revision of a key is above the given one.
   *
   * @param key the key; not null
   * @param afterRevision the newest known revision
   * @param waitMs the maximum time to wait; milliseconds
   * @return never null
   */
  CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs);

  /**
   * Creates a lease.
   *
   * @param ttlMs the time after which it expires unless kept alive; milliseconds
   * @return never null
   */
  CompletableFuture<LeaseResult> createLease(long ttlMs);

  /**
   * Keeps a lease alive.
   *
   * @param lease the lease; not null
   * @return DONE, CONFLICT if it has expired, UNKNOWN or UNAVAILABLE
   */
  CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease);

  /**
   * Ends a lease and deletes the keys tied to it.
   *
   * @param lease the lease; not null
   * @return DONE, CONFLICT if it has expired, UNKNOWN or UNAVAILABLE
   */
  CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease);
}
