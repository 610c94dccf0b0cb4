package io.cuminvalve.core.placement;

/**
 * One change of an owner or a standby in a plan.
 *
 * @param shard the shard
 * @param role whether its owner or its standby changes; not null
 * @param from index of the previous target in {@link PlacementPlan#targets()}, or {@link
 *     io.cuminvalve.core.table.ShardTable#NO_TARGET}
 * @param to index of the new target, or NO_TARGET
 * @param reason the reason of the change; not null
 * @since 0.1
 */
public record PlacementMove(int shard, MoveRole role, int from, int to, MoveReason reason) {}
