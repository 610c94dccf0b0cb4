package io.cuminvalve.core.authority;

import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;

/**
 * The value of the table key.
 *
 * @param base the issued version that the table was derived from; an activation between it and the
 *     table's own version shows that the table was never issued; not null
 * @param table the table; not null
 * @since 0.1
 */
public record StoredTable(TableVersion base, ShardTable table) {}
