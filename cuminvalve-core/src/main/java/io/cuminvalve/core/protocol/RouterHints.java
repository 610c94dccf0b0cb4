package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import java.util.List;

/**
 * Reply to a router without a table, from a process that cannot provide one; lists other routers to
 * ask.
 *
 * @param cell the cell; not null
 * @param routerAddresses peer addresses of registered routers; not null
 * @since 0.1
 */
public record RouterHints(CellId cell, List<String> routerAddresses) implements PeerMessage {}
