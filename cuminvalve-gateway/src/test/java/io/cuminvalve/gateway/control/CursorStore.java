package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A store with one key on virtual time that behaves as the adapter of the platform. A watch
 * continues from the end of the newest watch, not from the revision given by its caller. Watches
 * have a limited wait, and responses are delayed.
 */
final class CursorStore implements KeyValueStore {

  private final VirtualClock clock;
  private Optional<StoreValue> value = Optional.empty();
  private long revision = 1;
  private long cursor;
  private long newestWatch;
  private long answerMs;
  private int calls;
  private int silentCalls;
  private int pending;
  private int mostUnderWay;
  private int refusedWrites;

  CursorStore(VirtualClock clock) {
    this.clock = clock;
  }

  void put(byte... bytes) {
    revision++;
    value = Optional.of(new StoreValue(bytes, revision));
  }

  void remove() {
    revision++;
    value = Optional.empty();
  }

  void setAnswerMs(long ms) {
    answerMs = ms;
  }

  /** Makes the next calls get no response, as on connections that stopped without an error. */
  void silenceNextCalls(int count) {
    silentCalls = count;
  }

  void refuseNextWrites(int count) {
    refusedWrites = count;
  }

  int calls() {
    return calls;
  }

  int mostUnderWay() {
    return mostUnderWay;
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    calls++;
    pending++;
    mostUnderWay = Math.max(mostUnderWay, pending);
    CompletableFuture<WatchResult> answer = new CompletableFuture<>();
    final long number = ++newestWatch;
    if (silentCalls > 0) {
      silentCalls--;
      return answer;
    }
    final long from = cursor;
    poll(number, from, clock.nowMs() + waitMs, answer);
    return answer;
  }

  private void poll(long number, long from, long untilMs, CompletableFuture<WatchResult> answer) {
    if (revision > from || clock.nowMs() >= untilMs) {
      long seen = revision;
      Optional<StoreValue> now = value;
      clock.schedule(answerMs, () -> answer(number, from, seen, now, answer));
    } else {
      clock.schedule(1, () -> poll(number, from, untilMs, answer));
    }
  }

  private void answer(
      long number,
      long from,
      long seen,
      Optional<StoreValue> now,
      CompletableFuture<WatchResult> answer) {
    pending--;
    if (number != newestWatch) {
      answer.complete(new WatchResult(WatchResult.Event.UNAVAILABLE, Optional.empty()));
      return;
    }
    cursor = seen;
    if (seen == from) {
      answer.complete(new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty()));
    } else {
      WatchResult.Event event =
          now.isPresent() ? WatchResult.Event.CHANGED : WatchResult.Event.ABSENT;
      answer.complete(new WatchResult(event, now));
    }
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return CompletableFuture.completedFuture(new ReadResult(StoreOutcome.DONE, value));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] bytes, long expectedRevision, Optional<StoreLeaseId> lease) {
    if (refusedWrites > 0) {
      refusedWrites--;
      return CompletableFuture.completedFuture(new WriteResult(StoreOutcome.UNAVAILABLE, 0));
    }
    put(bytes);
    return CompletableFuture.completedFuture(new WriteResult(StoreOutcome.DONE, revision));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<LeaseResult> createLease(long ttlMs) {
    return CompletableFuture.completedFuture(
        new LeaseResult(StoreOutcome.DONE, Optional.of(new StoreLeaseId("1"))));
  }

  @Override
  public CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease) {
    return CompletableFuture.completedFuture(StoreOutcome.DONE);
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    return CompletableFuture.completedFuture(StoreOutcome.DONE);
  }
}
