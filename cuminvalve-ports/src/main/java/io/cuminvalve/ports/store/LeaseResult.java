package io.cuminvalve.ports.store;

import java.util.Optional;

/**
 * The result of creating a lease.
 *
 * @param outcome DONE, UNKNOWN or UNAVAILABLE; not null
 * @param lease the lease after DONE, else empty; not null
 * @since 0.1
 */
public record LeaseResult(StoreOutcome outcome, Optional<StoreLeaseId> lease) {}
