/** The shard table: the owner, standby and fencing token of each shard, by version. */
package io.cuminvalve.core.table;
