package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A store whose term is vacant once, and silent while it is not; renewals wait while told to. */
final class TermStore implements KeyValueStore {

  private final List<CompletableFuture<StoreOutcome>> held = new ArrayList<>();
  private boolean holding;
  private boolean gained;
  private boolean vacates;

  void holdAnswers() {
    holding = true;
  }

  /** From now on the term is vacant once its lease has ended. */
  void vacateOnEnd() {
    vacates = true;
  }

  /** Answers every renewal that waits. */
  void answer(StoreOutcome outcome) {
    holding = false;
    held.forEach(answer -> answer.complete(outcome));
    held.clear();
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return CompletableFuture.completedFuture(new ReadResult(StoreOutcome.DONE, Optional.empty()));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease) {
    StoreOutcome outcome = gained ? StoreOutcome.CONFLICT : StoreOutcome.DONE;
    gained = true;
    return CompletableFuture.completedFuture(new WriteResult(outcome, 1));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new UnsupportedOperationException("nothing is deleted here");
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    if (gained) {
      return new CompletableFuture<>();
    }
    return CompletableFuture.completedFuture(
        new WatchResult(WatchResult.Event.ABSENT, Optional.empty()));
  }

  @Override
  public CompletableFuture<LeaseResult> createLease(long ttlMs) {
    return CompletableFuture.completedFuture(
        new LeaseResult(StoreOutcome.DONE, Optional.of(new StoreLeaseId("1"))));
  }

  @Override
  public CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease) {
    CompletableFuture<StoreOutcome> answer = new CompletableFuture<>();
    if (holding) {
      held.add(answer);
    } else {
      answer.complete(StoreOutcome.DONE);
    }
    return answer;
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    gained &= !vacates;
    return CompletableFuture.completedFuture(StoreOutcome.DONE);
  }
}
