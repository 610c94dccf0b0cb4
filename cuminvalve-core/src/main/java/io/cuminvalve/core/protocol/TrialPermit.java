package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.RequestFingerprint;

/**
 * Answers a {@link TrialRequest}: the receiver may send one such request now.
 *
 * @param fingerprint the request's; not null
 * @since 0.2
 */
public record TrialPermit(RequestFingerprint fingerprint) implements FleetMessage {}
