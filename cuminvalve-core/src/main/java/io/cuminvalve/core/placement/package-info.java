/** Placement: decides which target owns each shard, which is its standby, and when shards move. */
package io.cuminvalve.core.placement;
