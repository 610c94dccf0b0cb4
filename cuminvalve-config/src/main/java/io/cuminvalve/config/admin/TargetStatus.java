package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;

/**
 * What the holder of the term knows of one target.
 *
 * @param id the target; not null
 * @param dataCentre where it runs; not null
 * @param state {@code ACTIVE}, {@code COLD}, {@code DRAINING} or {@code LOST}; not null
 * @param ownedShards how many shards it owns
 * @param standbyShards for how many shards it is the standby
 * @param load its measured load, where 1 is all slots busy
 * @since 0.1
 */
public record TargetStatus(
    TargetId id,
    DataCentreId dataCentre,
    String state,
    int ownedShards,
    int standbyShards,
    double load) {}
