package io.cuminvalve.core.send;

/**
 * What is sent to a target.
 *
 * @since 0.2
 */
public enum SendKind {

  /** A request of a caller. */
  REQUEST,

  /** A grant or a release of keys. */
  ORDER
}
