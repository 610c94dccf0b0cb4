package io.cuminvalve.core.placement;

/**
 * Reason why a plan changes an owner or a standby.
 *
 * @since 0.1
 */
public enum MoveReason {
  /** The shard had no owner. */
  FIRST_ASSIGNMENT,
  /** The owner is lost. */
  TARGET_LOST,
  /** The owner is draining. */
  TARGET_DRAINING,
  /** The owner has more than its share of the load. */
  OWNER_OVERLOADED,
  /** The owner has several hot shards, and this is not the hottest of them. */
  HOT_SHARDS_TOGETHER,
  /** The shard had no usable standby. */
  STANDBY_MISSING,
  /** Owner and standby were in the same data centre although another has usable targets. */
  STANDBY_SAME_DATA_CENTRE,
  /** The standby would be overloaded if one owner were lost. */
  STANDBY_CONCENTRATED
}
