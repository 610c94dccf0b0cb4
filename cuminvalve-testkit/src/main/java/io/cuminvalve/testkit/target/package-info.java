/** A stand-in for a target: a server that owns shards exclusively while it holds their grants. */
package io.cuminvalve.testkit.target;
