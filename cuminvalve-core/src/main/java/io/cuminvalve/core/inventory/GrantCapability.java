package io.cuminvalve.core.inventory;

/**
 * The checks that the targets of a service apply to the grants they receive.
 *
 * <p>It determines which proof is required before a shard may be given to another owner.
 *
 * @since 0.1
 */
public enum GrantCapability {
  /** Rejects lower fencing tokens, and stops serving when the grant expires on its own clock. */
  CHECKS_TOKEN_AND_EXPIRY,
  /** Rejects lower fencing tokens, but does not stop serving when the grant expires. */
  CHECKS_TOKEN,
  /** Accepts every order, whatever its sender or token. */
  CHECKS_NOTHING
}
