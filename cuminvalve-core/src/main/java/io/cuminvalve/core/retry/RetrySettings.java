package io.cuminvalve.core.retry;

/**
 * Limits and times of retries and circuit breakers.
 *
 * @param budgetShare the long-term ratio of retries to requests
 * @param budgetBurst the maximum number of accumulated retries
 * @param baseDelayMs the longest delay before the first retry; doubles with each retry;
 *     milliseconds
 * @param maxDelayMs the longest delay before any retry; milliseconds
 * @param maxAttempts the maximum number of attempts per request
 * @param failuresToOpen the number of consecutive failures that opens the circuit of a target
 * @param openMs how long a circuit stays open before a trial; milliseconds
 * @param openShare the maximum share of the targets of a service whose circuits are open at a time
 * @since 0.1
 */
public record RetrySettings(
    double budgetShare,
    double budgetBurst,
    long baseDelayMs,
    long maxDelayMs,
    int maxAttempts,
    int failuresToOpen,
    long openMs,
    double openShare) {

  /** One retry per ten requests; open circuits for at most a third of the targets. */
  public static final RetrySettings DEFAULT = new RetrySettings(0.1, 20, 10, 500, 6, 5, 500, 0.34);
}
