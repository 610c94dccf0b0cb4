package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.RequestFingerprint;

/**
 * Sent by a gateway to the holder of the term: it has a request under which targets have ended, and
 * would send one as a trial.
 *
 * @param fingerprint the request's; not null
 * @since 0.2
 */
public record TrialRequest(RequestFingerprint fingerprint) implements FleetMessage {}
