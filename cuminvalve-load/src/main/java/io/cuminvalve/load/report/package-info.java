/** Counts, latencies, unavailable time and the comparison of verdicts with what really ran. */
package io.cuminvalve.load.report;
