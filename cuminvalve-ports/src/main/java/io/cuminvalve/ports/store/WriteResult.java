package io.cuminvalve.ports.store;

/**
 * The result of a write or delete.
 *
 * @param outcome any outcome; not null
 * @param revision after DONE the revision written, after CONFLICT the current one; else 0
 * @since 0.1
 */
public record WriteResult(StoreOutcome outcome, long revision) {}
