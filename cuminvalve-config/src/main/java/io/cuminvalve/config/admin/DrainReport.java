package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;

/**
 * How far a drain has come.
 *
 * @param cell the cell; not null
 * @param target the target; not null
 * @param state the target's state, see {@link TargetStatus#state()}; not null
 * @param ownedShards how many shards it still owns; 0 when the drain is finished
 * @since 0.1
 */
public record DrainReport(CellId cell, TargetId target, String state, int ownedShards) {}
