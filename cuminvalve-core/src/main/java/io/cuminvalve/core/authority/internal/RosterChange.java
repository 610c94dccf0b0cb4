package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.RegisteredRouter;
import java.util.List;

/**
 * The registered routers of the next table.
 *
 * @param routers the routers; not null
 * @param previousWitnesses the witnesses of the present table, if the set changes or a router is
 *     removed; not null
 * @since 0.1
 */
public record RosterChange(List<RegisteredRouter> routers, List<RouterId> previousWitnesses) {}
