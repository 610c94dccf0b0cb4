package io.cuminvalve.core.quota;

/**
 * Answers a gateway that asked how many requests it may send to a target.
 *
 * @param count how many it may send, at once; at least 0
 * @param waitMs if they are fewer than it asked for, when to ask again; else 0; milliseconds
 * @param spacingMs the time after which one gateway gets one more, while all that asked lately go
 *     on asking; milliseconds
 * @since 0.2
 */
public record QuotaGrant(int count, long waitMs, long spacingMs) {}
