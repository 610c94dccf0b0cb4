package io.cuminvalve.router.control;

/**
 * Bounds on requests that wait for their shard.
 *
 * @param maxWaiting how many may wait at a time
 * @param maxWaitMs how long one may wait; milliseconds
 * @since 0.1
 */
public record OwnerSlotsLimits(int maxWaiting, long maxWaitMs) {}
