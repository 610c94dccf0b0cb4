package io.cuminvalve.ports.store;

/**
 * A value in the store with its revision.
 *
 * @param value the stored bytes; not null
 * @param revision the revision that wrote them; at least 1
 * @since 0.1
 */
public record StoreValue(byte[] value, long revision) {}
