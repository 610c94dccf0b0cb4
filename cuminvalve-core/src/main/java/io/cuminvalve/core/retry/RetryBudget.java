package io.cuminvalve.core.retry;

import io.cuminvalve.core.request.RetryPolicy;
import java.util.function.DoubleSupplier;

/**
 * Allows retries for a share of the requests, with exponential backoff and full jitter, within the
 * deadline.
 *
 * <p>Each request adds a fraction of a token and each retry takes a token, which bounds retries to
 * a share of the load however many requests fail. Thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget implements RetryPolicy {

  private static final int MAX_DOUBLINGS = 20;

  private final RetrySettings settings;
  private final DoubleSupplier jitter;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param settings limits and times; not null
   * @param jitter supplies random numbers from 0 to less than 1; not null
   */
  public RetryBudget(RetrySettings settings, DoubleSupplier jitter) {
    this.settings = settings;
    this.jitter = jitter;
    this.tokens = settings.budgetBurst();
  }

  /** Records a new request. Not called for its retries. */
  public synchronized void onRequest() {
    tokens = Math.min(settings.budgetBurst(), tokens + settings.budgetShare());
  }

  @Override
  public synchronized long delayMs(int failedAttempts, long remainingMs, long nowMs) {
    if (failedAttempts >= settings.maxAttempts() || tokens < 1) {
      return NO_RETRY;
    }
    int doublings = Math.min(MAX_DOUBLINGS, failedAttempts - 1);
    long ceilingMs = Math.min(settings.maxDelayMs(), settings.baseDelayMs() << doublings);
    long delayMs = (long) (jitter.getAsDouble() * (ceilingMs + 1));
    if (delayMs >= remainingMs) {
      return NO_RETRY;
    }
    tokens -= 1;
    return delayMs;
  }
}
