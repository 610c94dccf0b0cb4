package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.RouterId;

/**
 * What the holder of the term knows of one registered router.
 *
 * @param id the router; not null
 * @param dataCentre where it runs; not null
 * @param witness whether it confirms route leases
 * @param learned whether it has caught up since its start
 * @param tableVersion the table version it last acknowledged; not null
 * @param configRevision the configuration revision it last acknowledged
 * @param lastHeardAgoMs time since its last reply; milliseconds, -1 if it never replied
 * @since 0.1
 */
public record RouterStatus(
    RouterId id,
    DataCentreId dataCentre,
    boolean witness,
    boolean learned,
    String tableVersion,
    long configRevision,
    long lastHeardAgoMs) {}
