package io.cuminvalve.core.stop;

/**
 * Decides which requests a stopping process still takes and sends.
 *
 * <p>Callers are directed elsewhere only some time after the stop began, so until then every
 * request is taken. Later on, a request is taken only if its time limit ends before the process has
 * to end the requests that are left, since a target that has begun cannot be stopped without losing
 * its work. Any other one is handed over to a peer. Its response passes this process, so targets
 * are told to work on no request beyond {@link #workEndMs()}: they end their work themselves. All
 * times are milliseconds since the stop began.
 *
 * @param noticeMs the time within which callers have been directed elsewhere
 * @param limitMs the time at which the process closes its connections
 * @since 0.2
 */
public record StopPolicy(long noticeMs, long limitMs) {

  /** Time to write the responses of requests that are ended at the end of the stop. */
  public static final long ANSWER_RESERVE_MS = 200;

  /**
   * Time in which the response of a target, sent at the end of its work, returns through a peer.
   */
  public static final long RETURN_RESERVE_MS = 200;

  /** What to do with a request. */
  public enum Treatment {
    /** This process sends it to a target. */
    BEGIN,
    /** A peer sends it to a target. */
    HAND_OVER,
    /** It is refused unsent. */
    REFUSE
  }

  /** Checks the times. */
  public StopPolicy {
    if (noticeMs < 0 || limitMs < noticeMs) {
      throw new IllegalArgumentException(
          "the limit of a stop must not come before its notice: " + noticeMs + ", " + limitMs);
    }
  }

  /**
   * Returns whether a request may be taken, or sent to a target.
   *
   * @param sinceStopMs the current time
   * @param endsAtMs the time at which the time limit of the request ends
   * @return false if the request has to be refused unsent
   */
  public boolean admits(long sinceStopMs, long endsAtMs) {
    return sinceStopMs < noticeMs || endsAtMs <= requestsEndMs();
  }

  /**
   * Returns what to do with a request that was not sent.
   *
   * @param sinceStopMs the current time
   * @param endsAtMs the time at which the time limit of the request ends
   * @param objectiveMs its latency objective: with less time left for the work, the caller gains
   *     more by sending it again elsewhere
   * @param peerKnown whether a peer may take it
   * @return never null
   */
  public Treatment treat(long sinceStopMs, long endsAtMs, long objectiveMs, boolean peerKnown) {
    if (admits(sinceStopMs, endsAtMs)) {
      return Treatment.BEGIN;
    }
    boolean leavesTime = objectiveMs <= workEndMs() - sinceStopMs;
    return peerKnown && leavesTime ? Treatment.HAND_OVER : Treatment.REFUSE;
  }

  /**
   * Returns until when targets may work on requests that are sent during the stop.
   *
   * @return at least 0; before {@link #requestsEndMs()}
   */
  public long workEndMs() {
    return Math.max(0, requestsEndMs() - RETURN_RESERVE_MS);
  }

  /**
   * Returns whether callers have been directed elsewhere, so that the stop may end.
   *
   * @param sinceStopMs the current time
   * @return true from the notice on
   */
  public boolean isNoticeOver(long sinceStopMs) {
    return sinceStopMs >= noticeMs;
  }

  /**
   * Returns when requests that have not ended are ended.
   *
   * @return at least the notice, unless the limit is too close to it for a reserve
   */
  public long requestsEndMs() {
    return Math.max(noticeMs, limitMs - ANSWER_RESERVE_MS);
  }
}
