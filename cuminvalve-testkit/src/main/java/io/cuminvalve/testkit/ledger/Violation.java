package io.cuminvalve.testkit.ledger;

/**
 * A broken invariant.
 *
 * @param kind which one; not null
 * @param details what was seen; not null
 * @since 0.1
 */
public record Violation(Kind kind, String details) {

  /** The invariants that a ledger watches. */
  public enum Kind {
    /** A target ran a request without a grant for its shard and token. */
    EXECUTED_WITHOUT_GRANT,
    /** A request ran under a token after a newer one was granted. */
    OLDER_OWNER_EXECUTED,
    /** One token of a shard was granted to two targets. */
    TOKEN_GRANTED_TWICE,
    /** An operation that must not be repeated ran again. */
    DUPLICATE_EXECUTION,
    /** A leaving target was given work after the agreed time. */
    WORK_AFTER_DRAIN
  }
}
