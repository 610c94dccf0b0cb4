package io.cuminvalve.core.send;

/**
 * The kinds of messages to a target.
 *
 * @since 0.2
 */
public enum SendKind {

  /** A caller's request. */
  REQUEST,

  /** An order that grants or renews a lease. */
  GRANT,

  /** An order that ends a lease. */
  RELEASE
}
