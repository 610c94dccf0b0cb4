package io.cuminvalve.load.replay;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.verdict.Outcome.End;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;

/**
 * The stated outcome of one request of a trace.
 *
 * @param request the request; not null
 * @param end what its caller sees; not null
 * @param verdict whether it may have run; not null
 * @param reason why it was not answered; not null
 * @param runs how often targets began to work on it
 * @since 0.1
 */
public record ExpectedOutcome(
    RequestId request, End end, Verdict verdict, RefusalReason reason, int runs) {}
