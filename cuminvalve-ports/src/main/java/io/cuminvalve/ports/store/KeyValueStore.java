package io.cuminvalve.ports.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's key-value service.
 *
 * <p>Every future completes normally, within a bounded time, with a result that carries its
 * outcome. Futures complete on a thread of the implementation: hand over to the control thread.
 *
 * @since 0.1
 */
public interface KeyValueStore {

  /** The revision to expect of a key that must not exist. */
  long ABSENT = 0;

  /**
   * Returns the newest epoch that the store has shown. It rises when the store comes back from an
   * older copy of itself and has lost what it acknowledged since; revisions of a later epoch are
   * above all of those before.
   *
   * @return 0 if the store tells of none
   */
  default long epoch() {
    return 0;
  }

  /**
   * Sets who is told, once each time, that the store shows a later epoch than before.
   *
   * @param listener called on a thread of the implementation; must not block; not null
   */
  default void onEpoch(Runnable listener) {}

  /**
   * Reads a key, linearizably.
   *
   * @param key the key; not null
   * @return never null
   */
  CompletableFuture<ReadResult> read(String key);

  /**
   * Reads a key where an answer that is some seconds old does. May cost less than {@link #read}.
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
   * @param afterRevision the newest revision that the caller knows
   * @param waitMs how long to wait; milliseconds
   * @return never null
   */
  CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs);

  /**
   * Creates a lease.
   *
   * @param ttlMs how long it lives without a sign of life; milliseconds
   * @return never null
   */
  CompletableFuture<LeaseResult> createLease(long ttlMs);

  /**
   * Keeps a lease alive.
   *
   * @param lease the lease; not null
   * @return DONE, CONFLICT if it has lapsed, UNKNOWN or UNAVAILABLE
   */
  CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease);

  /**
   * Ends a lease and deletes the keys tied to it.
   *
   * @param lease the lease; not null
   * @return DONE, CONFLICT if it has lapsed, UNKNOWN or UNAVAILABLE
   */
  CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease);
}
