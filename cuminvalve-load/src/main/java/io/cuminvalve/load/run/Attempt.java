package io.cuminvalve.load.run;

import io.cuminvalve.core.verdict.Verdict;

/**
 * How one sending of an operation ended.
 *
 * @param operation the operation; not null
 * @param resend whether it was the second sending
 * @param verdict what the router said, or MAY_HAVE_RUN if no answer came; NOT_RUN if no connection
 *     could be made; not null
 * @param status the HTTP status, or 0 if no answer came
 * @param code the error code of the body or the failure's name; empty for success; not null
 * @param wrongAnswer whether the answer belongs to another operation or is not whole though it
 *     looked so
 * @param completedNs when it ended, by {@link System#nanoTime()}
 * @since 0.1
 */
public record Attempt(
    Operation operation,
    boolean resend,
    Verdict verdict,
    int status,
    String code,
    boolean wrongAnswer,
    long completedNs) {

  private static final int SUCCESS = 200;

  /**
   * Tells whether the caller got what it asked for.
   *
   * @return true for a whole answer of its own
   */
  public boolean isServed() {
    return status == SUCCESS && !wrongAnswer;
  }

  /**
   * Returns the time from the intended sending to the end.
   *
   * @return nanoseconds
   */
  public long latencyNs() {
    return completedNs - operation.intendedNs();
  }
}
