package io.cuminvalve.router.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts the requests that were read before earlier ones of their connection were answered. */
final class ReadAheadCounts {

  private final LongAdder total = new LongAdder();
  private final AtomicInteger inProgress = new AtomicInteger();

  void onBegin() {
    total.increment();
    inProgress.incrementAndGet();
  }

  void onEnd() {
    inProgress.decrementAndGet();
  }

  long total() {
    return total.sum();
  }

  int inProgress() {
    return inProgress.get();
  }
}
