package io.cuminvalve.core.verdict;

/**
 * The final outcome of a request for its caller. Each request has exactly one.
 *
 * @param end the kind of response that the caller receives; not null
 * @param verdict whether the request may have run; not null
 * @param reason the reason why the target did not answer it; {@link RefusalReason#NONE} if it did;
 *     not null
 * @param retryAfterMs delay before a retry, in milliseconds; 0 if the caller should not retry
 * @since 0.1
 */
public record Outcome(End end, Verdict verdict, RefusalReason reason, long retryAfterMs) {

  /** The target's complete answer was relayed. */
  public static final Outcome ANSWERED =
      new Outcome(End.ANSWERED, Verdict.RAN, RefusalReason.NONE, 0);

  /** The response that the caller receives. */
  public enum End {
    /** The complete answer of the target. */
    ANSWERED,
    /** An error response of the router with verdict, code and retry advice. */
    REFUSED,
    /**
     * A connection closed before the end of the answer, so that a partial answer cannot appear
     * complete.
     */
    ABORTED,
    /** No response: the caller disconnected first. */
    CALLER_GONE
  }

  /**
   * Creates the outcome of a request that the router answers itself.
   *
   * @param verdict whether the request may have run; not null
   * @param reason the reason for the refusal; not null
   * @param retryAfterMs delay before a retry; milliseconds
   * @return never null
   */
  public static Outcome refused(Verdict verdict, RefusalReason reason, long retryAfterMs) {
    return new Outcome(End.REFUSED, verdict, reason, retryAfterMs);
  }
}
