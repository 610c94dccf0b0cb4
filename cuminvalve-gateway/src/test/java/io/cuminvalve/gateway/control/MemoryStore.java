package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An in-memory store that responds immediately. Leases and watches are not supported. */
final class MemoryStore implements KeyValueStore {

  private final Map<String, StoreValue> values = new HashMap<>();
  private long revision;
  private boolean losesNextResponse;

  /** Makes the next write succeed but report an unknown outcome. */
  synchronized void loseNextAnswer() {
    losesNextResponse = true;
  }

  @Override
  public synchronized CompletableFuture<ReadResult> read(String key) {
    return CompletableFuture.completedFuture(
        new ReadResult(StoreOutcome.DONE, Optional.ofNullable(values.get(key))));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease) {
    StoreValue known = values.get(key);
    long current = known == null ? ABSENT : known.revision();
    if (current != expectedRevision) {
      return CompletableFuture.completedFuture(new WriteResult(StoreOutcome.CONFLICT, 0));
    }
    revision++;
    values.put(key, new StoreValue(value, revision));
    StoreOutcome outcome = losesNextResponse ? StoreOutcome.UNKNOWN : StoreOutcome.DONE;
    losesNextResponse = false;
    return CompletableFuture.completedFuture(new WriteResult(outcome, revision));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
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
