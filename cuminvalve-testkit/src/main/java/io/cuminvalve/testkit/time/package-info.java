/** A virtual clock and the scheduling of delayed work on virtual or real time. */
package io.cuminvalve.testkit.time;
