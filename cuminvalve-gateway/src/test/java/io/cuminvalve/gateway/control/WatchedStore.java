package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A store with one key that responds to pending watches on a change, unless they were silenced. */
final class WatchedStore extends ReadOnlyStore {

  private final VirtualClock clock;
  private Optional<StoreValue> value = Optional.empty();
  private final List<CompletableFuture<WatchResult>> waiting = new ArrayList<>();
  private final List<Long> waits = new ArrayList<>();
  private boolean available = true;
  private long revision;

  WatchedStore(VirtualClock clock) {
    this.clock = clock;
  }

  void put(byte... bytes) {
    revision++;
    value = Optional.of(new StoreValue(bytes, revision));
    answer();
  }

  void remove() {
    revision++;
    value = Optional.empty();
    answer();
  }

  /** Drops the responses of all pending calls, as on connections that stopped without an error. */
  void silenceWaitingCalls() {
    waiting.clear();
  }

  /** Responds to all pending calls before the end of their wait that nothing has changed. */
  void endWaitsUnchanged() {
    List<CompletableFuture<WatchResult>> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(
        answer -> answer.complete(new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty())));
  }

  /** Sets whether the store responds; if not, every call fails. */
  void setAvailable(boolean now) {
    available = now;
  }

  /** Returns the wait of each call so far; milliseconds. */
  List<Long> waits() {
    return waits;
  }

  private void answer() {
    List<CompletableFuture<WatchResult>> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(answer -> answer.complete(result()));
  }

  private WatchResult result() {
    return value
        .map(known -> new WatchResult(WatchResult.Event.CHANGED, Optional.of(known)))
        .orElse(new WatchResult(WatchResult.Event.ABSENT, Optional.empty()));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    waits.add(waitMs);
    if (!available) {
      return CompletableFuture.completedFuture(
          new WatchResult(WatchResult.Event.UNAVAILABLE, Optional.empty()));
    }
    boolean changed = value.map(known -> known.revision() > afterRevision).orElse(true);
    if (changed) {
      return CompletableFuture.completedFuture(result());
    }
    CompletableFuture<WatchResult> answer = new CompletableFuture<>();
    waiting.add(answer);
    clock.schedule(waitMs, () -> endWait(answer));
    return answer;
  }

  private void endWait(CompletableFuture<WatchResult> answer) {
    if (waiting.remove(answer)) {
      answer.complete(new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty()));
    }
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return CompletableFuture.completedFuture(new ReadResult(StoreOutcome.DONE, value));
  }
}
