package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.CellId;

/**
 * One change of a cell: what, by whom, why.
 *
 * @param cell the cell; not null
 * @param atEpochMs when, by the controller's host; milliseconds since 1970
 * @param tableVersion the table version that made it; not null
 * @param kind such as {@code MOVE}, {@code TAKEOVER}, {@code TERM}, {@code CONFIGURATION}, {@code
 *     ROUTER}; not null
 * @param actor the controller or operator that decided it; not null
 * @param reason why; not null
 * @param shardsMoved how many shards changed owner
 * @param detail what moved from where to where; not null
 * @since 0.1
 */
public record ChangeRecord(
    CellId cell,
    long atEpochMs,
    String tableVersion,
    String kind,
    String actor,
    String reason,
    int shardsMoved,
    String detail) {}
