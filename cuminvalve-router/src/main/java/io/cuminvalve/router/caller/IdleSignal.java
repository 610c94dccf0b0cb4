package io.cuminvalve.router.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts what is in progress and tells when, after a stop began, nothing is left. */
final class IdleSignal {

  private final AtomicInteger inProgress = new AtomicInteger();
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private volatile boolean stopping;

  void begin() {
    inProgress.incrementAndGet();
  }

  void end() {
    if (inProgress.decrementAndGet() == 0 && stopping) {
      idle.complete(null);
    }
  }

  int count() {
    return inProgress.get();
  }

  boolean isStopping() {
    return stopping;
  }

  /** Begins the stop; the result completes once nothing is in progress. */
  CompletableFuture<Void> stop() {
    stopping = true;
    if (inProgress.get() == 0) {
      idle.complete(null);
    }
    return idle;
  }
}
