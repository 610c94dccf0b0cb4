package io.cuminvalve.router.observe;

/**
 * One step in the life of a request.
 *
 * @param offsetMs milliseconds since its arrival
 * @param kind what happened; not null
 * @param detail for operators; not null, may be empty
 * @since 0.1
 */
public record RequestStep(long offsetMs, StepKind kind, String detail) {}
