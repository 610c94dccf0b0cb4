package io.cuminvalve.core.exchange;

/**
 * What matters of a request for the decisions on it.
 *
 * @param idempotent whether it may run more than once
 * @param keyed whether only the owner of its key may run it
 * @param maxAttempts on how many targets it may run at most
 * @param latencyObjectiveMs within which time its answer is due; milliseconds
 * @param arrivedMs when its head was read; milliseconds
 * @param deadlineMs by when it has to be answered; milliseconds
 * @since 0.2
 */
public record ExchangeProfile(
    boolean idempotent,
    boolean keyed,
    int maxAttempts,
    long latencyObjectiveMs,
    long arrivedMs,
    long deadlineMs) {}
