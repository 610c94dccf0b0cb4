package io.cuminvalve.core.quota;

/**
 * The answer to a gateway that requested tokens for a target.
 *
 * @param count the number of requests that it may send now; at least 0
 * @param waitMs when to ask again if this is fewer than requested, else 0; milliseconds
 * @param spacingMs the expected time between two tokens of one gateway while all recently active
 *     gateways keep asking; milliseconds
 * @since 0.2
 */
public record QuotaGrant(int count, long waitMs, long spacingMs) {}
