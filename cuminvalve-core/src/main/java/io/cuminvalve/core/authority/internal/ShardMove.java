package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.TargetId;

/**
 * The progress of one moving shard.
 *
 * @since 0.1
 */
final class ShardMove {

  final int shard;
  final long token;
  final TargetId from;
  final TargetId to;

  /** Whether no router dispatches to the previous owner any more. */
  boolean closed;

  /** When the last grant that rode on a request to the previous owner has ended. */
  long grantsEndMs;

  long closedAtMs;
  boolean proved;
  boolean granted;
  boolean revoking;
  boolean granting;
  long retryAtMs = Long.MIN_VALUE;

  ShardMove(int shard, long token, TargetId from, TargetId to) {
    this.shard = shard;
    this.token = token;
    this.from = from;
    this.to = to;
  }
}
