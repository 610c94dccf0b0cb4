package io.cuminvalve.controller.cell;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A store whose reads and watches end when a test says so. */
final class FakeStore implements KeyValueStore {

  final Deque<CompletableFuture<ReadResult>> reads = new ArrayDeque<>();
  final Deque<CompletableFuture<WatchResult>> watches = new ArrayDeque<>();
  long watchedAfter = -1;

  static ReadResult found(long revision, byte[] value) {
    return new ReadResult(StoreOutcome.DONE, Optional.of(new StoreValue(value, revision)));
  }

  static WatchResult changed(long revision, byte[] value) {
    return new WatchResult(WatchResult.Event.CHANGED, Optional.of(new StoreValue(value, revision)));
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    reads.add(new CompletableFuture<>());
    return reads.getLast();
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    watchedAfter = afterRevision;
    watches.add(new CompletableFuture<>());
    return watches.getLast();
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease) {
    throw new AssertionError("nothing is to be written");
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new AssertionError("nothing is to be deleted");
  }

  @Override
  public CompletableFuture<LeaseResult> createLease(long ttlMs) {
    throw new AssertionError("no lease is needed");
  }

  @Override
  public CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease) {
    throw new AssertionError("no lease is needed");
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    throw new AssertionError("no lease is needed");
  }
}
