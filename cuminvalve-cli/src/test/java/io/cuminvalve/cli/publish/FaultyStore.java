package io.cuminvalve.cli.publish;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/** A store in memory whose writes meet a scripted fate. */
public final class FaultyStore implements KeyValueStore {

  /** What becomes of one write. */
  public enum Fate {
    /** Takes effect and is answered. */
    ANSWERED,
    /** Takes effect; the reply is lost. */
    REPLY_LOST,
    /** Is lost on the way; no reply comes. */
    REQUEST_LOST,
    /** Is not sent. */
    REFUSED,
    /** Waits in the network until {@link #deliverDelayed()}; no reply comes. */
    DELAYED
  }

  private final Map<String, StoreValue> values = new HashMap<>();
  private final Queue<Fate> fates = new ArrayDeque<>();
  private final Queue<Runnable> delayed = new ArrayDeque<>();
  private Runnable beforeNextWrite = () -> {};
  private boolean readable = true;
  private long revision;

  /** Scripts the fate of coming writes; those after the script are answered. */
  public synchronized void script(Fate... next) {
    fates.addAll(List.of(next));
  }

  /** Runs something just before the next write arrives. */
  public synchronized void beforeNextWrite(Runnable action) {
    beforeNextWrite = action;
  }

  /** Switches reads on or off. */
  public synchronized void setReadable(boolean readable) {
    this.readable = readable;
  }

  /** Lets the delayed writes arrive. */
  public synchronized void deliverDelayed() {
    while (!delayed.isEmpty()) {
      delayed.remove().run();
    }
  }

  @Override
  public synchronized CompletableFuture<ReadResult> read(String key) {
    return CompletableFuture.completedFuture(
        readable
            ? new ReadResult(StoreOutcome.DONE, Optional.ofNullable(values.get(key)))
            : new ReadResult(StoreOutcome.UNAVAILABLE, Optional.empty()));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease) {
    Runnable action = beforeNextWrite;
    beforeNextWrite = () -> {};
    action.run();
    Fate fate = fates.isEmpty() ? Fate.ANSWERED : fates.remove();
    return CompletableFuture.completedFuture(
        switch (fate) {
          case ANSWERED -> apply(key, value, expectedRevision);
          case REPLY_LOST -> {
            apply(key, value, expectedRevision);
            yield new WriteResult(StoreOutcome.UNKNOWN, 0);
          }
          case REQUEST_LOST -> new WriteResult(StoreOutcome.UNKNOWN, 0);
          case REFUSED -> new WriteResult(StoreOutcome.UNAVAILABLE, 0);
          case DELAYED -> {
            delayed.add(() -> apply(key, value, expectedRevision));
            yield new WriteResult(StoreOutcome.UNKNOWN, 0);
          }
        });
  }

  private WriteResult apply(String key, byte[] value, long expectedRevision) {
    StoreValue current = values.get(key);
    long currentRevision = current == null ? ABSENT : current.revision();
    if (currentRevision != expectedRevision) {
      return new WriteResult(StoreOutcome.CONFLICT, currentRevision);
    }
    revision++;
    values.put(key, new StoreValue(value.clone(), revision));
    return new WriteResult(StoreOutcome.DONE, revision);
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
