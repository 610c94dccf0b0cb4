package io.cuminvalve.core.retry;

/**
 * This process's part of a budget for repeats that all processes of the fleet share.
 *
 * <p>The fleet may repeat a share of the requests for a service plus a constant number, in any
 * window of a given length. A process may repeat that share of the requests that it has received
 * itself, and its even part of the constant. So the sum over all processes stays within the budget
 * without any message, whatever way the requests are spread. Not safe for use by several threads.
 *
 * @since 0.2
 */
public final class SharedRetryBudget {

  /** Into how many parts a window is cut; one more is counted, so that none slips out too early. */
  private static final int SLICES = 10;

  /** Requests that came up to half a window ago count in full; older ones may have left it. */
  private static final int REQUEST_SLICES = SLICES / 2;

  private final double share;
  private final double extraPerFleet;
  private final long sliceMs;
  private final int[] requests = new int[SLICES + 1];
  private final int[] repeats = new int[SLICES + 1];
  private long slice;

  /**
   * Creates a budget.
   *
   * @param share repeats allowed for each request; 0 to 1
   * @param extraPerFleet repeats allowed besides in each window, for all processes together
   * @param windowMs the length of the window; milliseconds
   */
  public SharedRetryBudget(double share, double extraPerFleet, long windowMs) {
    this.share = share;
    this.extraPerFleet = extraPerFleet;
    this.sliceMs = Math.max(1, windowMs / SLICES);
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowMs the time; milliseconds
   */
  public void onRequest(long nowMs) {
    advance(nowMs);
    requests[index(slice)]++;
  }

  /**
   * Takes one repeat, if the budget allows it.
   *
   * @param processes how many processes share the budget; at least 1
   * @param nowMs the time; milliseconds
   * @return false if the request must not be sent again
   */
  public boolean tryRepeat(int processes, long nowMs) {
    advance(nowMs);
    int spent = 0;
    int received = 0;
    for (int i = 0; i <= SLICES; i++) {
      spent += repeats[i];
    }
    for (int age = 0; age <= REQUEST_SLICES; age++) {
      received += requests[index(slice - age)];
    }
    if (spent + 1 > share * received + extraPerFleet / processes) {
      return false;
    }
    repeats[index(slice)]++;
    return true;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, sliceMs);
    long stale = Math.min(now - slice, SLICES + 1L);
    for (long i = 0; i < stale; i++) {
      int index = index(now - i);
      requests[index] = 0;
      repeats[index] = 0;
    }
    slice = Math.max(slice, now);
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, SLICES + 1L);
  }
}
