package io.cuminvalve.router.request;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.router.target.TargetRecord;

/**
 * A place among the requests in flight at one target.
 *
 * @param cell the cell; not null
 * @param target the target; not null
 * @param shard the shard of the request's key
 * @since 0.1
 */
public record Slot(CellId cell, TargetRecord target, int shard) {}
