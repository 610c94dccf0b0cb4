package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/** A target that holds leases, as targets do: by token, on a clock that may run slow. */
final class LeaseTarget {

  /** Only every so manieth key is looked at; moves in tests begin and end there. */
  static final int STEP = 4_096;

  static final int SAMPLES = KeyRange.KEY_COUNT / STEP;

  private final TargetId id;
  private final double clockRate;
  private final long[] seenTokens = new long[SAMPLES];
  private final long[] heldUntilMs = new long[SAMPLES];

  LeaseTarget(TargetId id, double clockRate) {
    this.id = id;
    this.clockRate = clockRate;
  }

  TargetId id() {
    return id;
  }

  /** Carries a grant out, whose time runs since it arrived. */
  OrderOutcome grant(LeaseOrder.Grant order, long arrivedMs) {
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP) && seenTokens[i] > order.token()) {
        return OrderOutcome.STALE;
      }
    }
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP)) {
        seenTokens[i] = order.token();
        heldUntilMs[i] = arrivedMs + (long) (order.leaseMs() * clockRate);
      }
    }
    return OrderOutcome.DONE;
  }

  OrderOutcome release(LeaseOrder.Release order) {
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP)) {
        seenTokens[i] = Math.max(seenTokens[i], order.token());
        heldUntilMs[i] = 0;
      }
    }
    return OrderOutcome.DONE;
  }

  boolean holds(int sample, long nowMs) {
    return heldUntilMs[sample] > nowMs;
  }

  void crash() {
    java.util.Arrays.fill(heldUntilMs, 0);
    java.util.Arrays.fill(seenTokens, Long.MAX_VALUE);
  }
}
