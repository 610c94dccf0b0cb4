package io.cuminvalve.core.waiting;

/**
 * When a queued request is expected to get a place and to be complete.
 *
 * @param waitMs time until it gets a place; milliseconds
 * @param workMs time from then on until its response; milliseconds
 * @since 0.2
 */
public record WaitEstimate(long waitMs, long workMs) {

  /**
   * Estimates by the requests that are served first.
   *
   * @param ahead queued requests that are served before; at least 0
   * @param msPerCompletion recent time from one completion to the next; 0 if unknown
   * @param workMs recent time of such a request from its place to its response; 0 if unknown
   * @return never null
   */
  public static WaitEstimate of(int ahead, double msPerCompletion, double workMs) {
    // The first completion is half an interval away on average.
    return new WaitEstimate(Math.round((ahead + 0.5) * msPerCompletion), Math.round(workMs));
  }
}
