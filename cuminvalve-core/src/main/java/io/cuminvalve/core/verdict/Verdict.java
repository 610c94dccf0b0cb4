package io.cuminvalve.core.verdict;

/**
 * Whether a request may have run at a target.
 *
 * @since 0.1
 */
public enum Verdict {
  /**
   * The request did not run: no byte of it was written to a connection, or each target that
   * received it refused it with a response that the interface defines as sent before execution.
   */
  NOT_RUN,
  /** The request ran: the target answered it. */
  RAN,
  /** Neither is proven. */
  MAY_HAVE_RUN
}
