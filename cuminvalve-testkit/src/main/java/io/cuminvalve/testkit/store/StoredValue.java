package io.cuminvalve.testkit.store;

/**
 * A value of the store.
 *
 * @param bytes the value; not null, not copied
 * @param revision the store's revision when it was written
 * @param lease the lease it is tied to, or 0
 */
record StoredValue(byte[] bytes, long revision, long lease) {}
