package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.WriteResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Base of test stores without writes and leases, which throw an exception. */
abstract class ReadOnlyStore implements KeyValueStore {

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] bytes, long expectedRevision, Optional<StoreLeaseId> lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<LeaseResult> createLease(long ttlMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    throw new UnsupportedOperationException();
  }
}
