package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.RequestFingerprint;

/**
 * Sent by a gateway to the term holder to ask for permission to send, as a trial, a quarantined
 * request during which targets have crashed.
 *
 * @param fingerprint the fingerprint of the request; not null
 * @since 0.2
 */
public record TrialRequest(RequestFingerprint fingerprint) implements FleetMessage {}
