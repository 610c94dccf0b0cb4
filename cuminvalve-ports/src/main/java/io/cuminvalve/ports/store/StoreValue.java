package io.cuminvalve.ports.store;

/**
 * What the store holds under a key.
 *
 * @param value the bytes; not null
 * @param revision the revision that wrote them; at least 1
 * @since 0.1
 */
public record StoreValue(byte[] value, long revision) {}
