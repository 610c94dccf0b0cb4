package io.cuminvalve.router.observe;

/**
 * Where the time of a request went.
 *
 * @param totalMs from its head to its outcome; milliseconds
 * @param queuedMs waiting for slots; milliseconds
 * @param targetMs from the first byte sent to the head of the answer, in the last attempt;
 *     milliseconds, 0 if there was no answer
 * @since 0.1
 */
public record RequestTimes(long totalMs, long queuedMs, long targetMs) {}
