package io.cuminvalve.core.replay;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.verdict.Outcome;

/**
 * How a request of a trace ended.
 *
 * @param request the request; not null
 * @param outcome what its caller saw; not null
 * @param endedAtMs when; milliseconds since the start of the trace
 * @param runs how often targets began to work on it
 * @since 0.1
 */
public record ReplayOutcome(RequestId request, Outcome outcome, long endedAtMs, int runs) {}
