package io.cuminvalve.core.request;

/**
 * The properties of a request that its state machine depends on.
 *
 * @param idempotent whether it may be resent after it may have run
 * @param claimed whether it must be claimed at other routers before its first byte is sent: true
 *     for a request that is not idempotent and carries an idempotency key
 * @param bodyReplayable whether its body can be resent, because it is empty or fully buffered
 * @param deadlineMs when the caller stops waiting, on the router's clock
 * @since 0.1
 */
public record RequestProfile(
    boolean idempotent, boolean claimed, boolean bodyReplayable, long deadlineMs) {}
