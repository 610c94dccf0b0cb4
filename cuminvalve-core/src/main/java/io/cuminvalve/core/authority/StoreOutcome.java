package io.cuminvalve.core.authority;

/**
 * What is known of a store operation.
 *
 * @since 0.1
 */
public enum StoreOutcome {
  /** It took effect, or the read returned a value (revision 0: the key does not exist). */
  DONE,
  /** The expected revision did not match, or the lease lapsed; nothing was written. */
  CONFLICT,
  /** It may or may not have taken effect, or take effect later. */
  UNKNOWN,
  /** It certainly did not take effect: nothing was sent, or the store refused it. */
  UNAVAILABLE
}
