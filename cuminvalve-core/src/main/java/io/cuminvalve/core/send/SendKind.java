package io.cuminvalve.core.send;

/**
 * What is sent to a target.
 *
 * @since 0.2
 */
public enum SendKind {

  /** A request of a caller. */
  REQUEST,

  /** An order that gives keys to a target, or lets it keep them. */
  GRANT,

  /** An order that takes keys from a target. */
  RELEASE
}
