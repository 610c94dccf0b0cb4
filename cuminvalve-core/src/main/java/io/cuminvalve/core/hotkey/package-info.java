/** Load measurement: hot keys and load per shard, on routers and at the term holder. */
package io.cuminvalve.core.hotkey;
