package io.cuminvalve.gateway.control;

import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallGuard;
import io.cuminvalve.ports.store.StoreCallOutcome;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** A store that never changes and can refuse calls. Each call passes a guard first. */
final class GuardedStore extends ReadOnlyStore {

  private final VirtualClock clock;
  private final StoreCallGuard guard;
  private final long answerMs;
  private final BooleanSupplier refusing;

  GuardedStore(VirtualClock clock, StoreCallGuard guard, long answerMs, BooleanSupplier refusing) {
    this.clock = clock;
    this.guard = guard;
    this.answerMs = answerMs;
    this.refusing = refusing;
  }

  /** Makes a call unless the guard rejects it. The result is whether the call was answered. */
  CompletableFuture<Boolean> call(StoreCall call) {
    return call(call, 0);
  }

  private CompletableFuture<Boolean> call(StoreCall call, long waitMs) {
    OptionalLong number = guard.begin(call);
    if (number.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> answer = new CompletableFuture<>();
    boolean refused = refusing.getAsBoolean();
    clock.schedule(
        answerMs + (refused ? 0 : waitMs),
        () -> {
          StoreCallOutcome outcome = refused ? StoreCallOutcome.REFUSED : StoreCallOutcome.ANSWERED;
          guard.onEnded(call, number.getAsLong(), outcome);
          answer.complete(!refused);
        });
    return answer;
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    return call(StoreCall.WATCH, waitMs)
        .thenApply(
            answered ->
                new WatchResult(
                    answered ? WatchResult.Event.UNCHANGED : WatchResult.Event.UNAVAILABLE,
                    Optional.empty()));
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return call(StoreCall.READ)
        .thenApply(
            answered ->
                new ReadResult(
                    answered ? StoreOutcome.DONE : StoreOutcome.UNAVAILABLE,
                    Optional.of(new StoreValue(new byte[0], 1))));
  }
}
