package io.cuminvalve.testkit.target;

import java.util.Map;

/**
 * The counters of one run of a target.
 *
 * @param incarnation the run
 * @param running requests that run now
 * @param queued requests that wait for a slot
 * @param peakRunning the most that ever ran at a time
 * @param grants shards it owns
 * @param refusals refused requests by reason; not null
 * @since 0.1
 */
public record TargetReport(
    long incarnation,
    int running,
    int queued,
    int peakRunning,
    int grants,
    Map<Refusal, Long> refusals) {}
