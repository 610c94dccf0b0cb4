/** A stand-in for the platform's lagging list of live and leaving hosts. */
package io.cuminvalve.testkit.hostlist;
