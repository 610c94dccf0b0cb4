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

/**
 * A store whose term is vacant until it is acquired. Watches then do not respond, and responses to
 * renewals can be delayed.
 */
final class TermStore implements KeyValueStore {

  private final List<CompletableFuture<StoreOutcome>> held = new ArrayList<>();
  private boolean delayed;
  private boolean acquired;
  private boolean vacantAfterEnd;

  void holdAnswers() {
    delayed = true;
  }

  /** Makes the term vacant when its lease ends from now on. */
  void vacateOnEnd() {
    vacantAfterEnd = true;
  }

  /** Responds to all delayed renewals. */
  void answer(StoreOutcome outcome) {
    delayed = false;
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
    StoreOutcome outcome = acquired ? StoreOutcome.CONFLICT : StoreOutcome.DONE;
    acquired = true;
    return CompletableFuture.completedFuture(new WriteResult(outcome, 1));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    throw new UnsupportedOperationException("delete is not supported");
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    if (acquired) {
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
    if (delayed) {
      held.add(answer);
    } else {
      answer.complete(StoreOutcome.DONE);
    }
    return answer;
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    acquired &= !vacantAfterEnd;
    return CompletableFuture.completedFuture(StoreOutcome.DONE);
  }
}
