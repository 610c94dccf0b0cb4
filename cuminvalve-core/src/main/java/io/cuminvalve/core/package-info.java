/** Decisions only: shard table, authority, placement, routing, admission, verdicts. No I/O. */
package io.cuminvalve.core;
