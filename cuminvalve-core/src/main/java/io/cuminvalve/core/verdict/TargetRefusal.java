package io.cuminvalve.core.verdict;

/**
 * The reason why a target refuses a request before running it, as sent in the header {@code
 * Cuminvalve-Refusal}.
 *
 * @since 0.1
 */
public enum TargetRefusal {
  /** The target has no capacity at present. */
  OVERLOADED(RefusalReason.TARGET_OVERLOADED),
  /** The target is about to stop. */
  DRAINING(RefusalReason.TARGET_DRAINING),
  /** The target has no grant for the shard. */
  NOT_OWNER(RefusalReason.TARGET_NOT_OWNER),
  /** The target has seen a higher fencing token. */
  STALE_TOKEN(RefusalReason.TARGET_NOT_OWNER),
  /** The request arrived after its grant had expired. */
  EXPIRED(RefusalReason.TARGET_NOT_OWNER),
  /** The request was addressed to an earlier incarnation of the target. */
  WRONG_INCARNATION(RefusalReason.TARGET_NOT_OWNER);

  private final RefusalReason reason;

  TargetRefusal(RefusalReason reason) {
    this.reason = reason;
  }

  /**
   * Returns the reason reported to the caller if the request is not retried.
   *
   * @return never null
   */
  public RefusalReason reason() {
    return reason;
  }

  /**
   * Returns the refusal for a header value.
   *
   * @param headerValue the value; may be null
   * @return the refusal; null if the value is unknown and therefore does not prove NOT_RUN
   */
  public static TargetRefusal ofHeader(String headerValue) {
    for (TargetRefusal refusal : values()) {
      if (refusal.name().equals(headerValue)) {
        return refusal;
      }
    }
    return null;
  }
}
