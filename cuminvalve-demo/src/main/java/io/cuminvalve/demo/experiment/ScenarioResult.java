package io.cuminvalve.demo.experiment;

/**
 * What a scenario cost over all its trials.
 *
 * @param scenario its name; not null
 * @param trials how many were run
 * @param shards how many recoveries of a shard were timed
 * @param p50Ms half of the shards were served again after at most this; milliseconds
 * @param p99Ms ninety-nine in a hundred; milliseconds
 * @param maxMs all that were served again; milliseconds
 * @param unserved shards that were not served again within the trial
 * @param targetMs the p99 that is wanted, or 0 if a scenario has no target
 */
public record ScenarioResult(
    String scenario,
    int trials,
    int shards,
    double p50Ms,
    double p99Ms,
    double maxMs,
    int unserved,
    double targetMs) {}
