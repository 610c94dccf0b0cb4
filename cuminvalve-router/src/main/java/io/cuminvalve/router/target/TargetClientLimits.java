package io.cuminvalve.router.target;

/**
 * Bounds of the client towards targets.
 *
 * @param connectTimeoutMs how long opening a connection may take; milliseconds, at least 1
 * @param idleTimeoutMs how long an unused connection stays open; milliseconds, at least 1
 * @param maxHeaderBytes the largest head of a request or an answer; at least 1024
 * @param maxThreads threads that carry traffic to targets; at least 4
 * @param takesUnboundedAnswers whether an answer may end with its connection instead of a length
 * @since 0.1
 */
public record TargetClientLimits(
    long connectTimeoutMs,
    long idleTimeoutMs,
    int maxHeaderBytes,
    int maxThreads,
    boolean takesUnboundedAnswers) {

  /** Values that suit one entry host. */
  public static final TargetClientLimits DEFAULT =
      new TargetClientLimits(300, 20_000, 16_384, 32, false);
}
