package io.cuminvalve.load.report;

import io.cuminvalve.core.verdict.Verdict;
import java.util.Map;

/**
 * The results of one kind of operation.
 *
 * @param kind its name; not null
 * @param attempts how many attempts ended
 * @param served how many callers got what they asked for
 * @param verdicts attempts by verdict; not null
 * @param latency from the intended time to the end, of served operations; not null
 * @since 0.1
 */
public record KindSummary(
    String kind, long attempts, long served, Map<Verdict, Long> verdicts, LatencySummary latency) {}
