package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.RequestFingerprint;

/**
 * Reply to a {@link TrialRequest}: the receiver may send one request with this fingerprint now.
 *
 * @param fingerprint the fingerprint of the request; not null
 * @since 0.2
 */
public record TrialPermit(RequestFingerprint fingerprint) implements FleetMessage {}
