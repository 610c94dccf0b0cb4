package io.cuminvalve.core.exchange;

/**
 * The properties of a request that determine how it is handled.
 *
 * @param idempotent whether it may run more than once
 * @param keyed whether only the owner of its key may run it
 * @param maxAttempts maximum number of targets on which it may run
 * @param latencyObjectiveMs latency objective of the answer; milliseconds
 * @param arrivedMs time at which the request head was read; milliseconds
 * @param deadlineMs time by which it must be answered; milliseconds
 * @since 0.2
 */
public record ExchangeProfile(
    boolean idempotent,
    boolean keyed,
    int maxAttempts,
    long latencyObjectiveMs,
    long arrivedMs,
    long deadlineMs) {}
