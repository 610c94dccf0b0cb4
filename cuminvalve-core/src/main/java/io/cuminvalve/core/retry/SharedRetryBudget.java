package io.cuminvalve.core.retry;

/**
 * The part of one process in a retry budget that all processes of the fleet share.
 *
 * <p>In any window of a given length, the fleet may retry a share of the requests for a service
 * plus a constant number. Each process may retry that share of the requests that it received
 * itself, plus an equal part of the constant. The sum over all processes thus stays within the
 * budget without communication, however the requests are distributed. Not thread-safe.
 *
 * @since 0.2
 */
public final class SharedRetryBudget {

  /**
   * The number of slices of a window. One more is counted, so that no retry leaves it too early.
   */
  private static final int SLICES = 10;

  /** Requests up to half a window old count in full; older ones may have left the window. */
  private static final int REQUEST_SLICES = SLICES / 2;

  private final double share;
  private final double extraPerFleet;
  private final long sliceMs;
  private final int[] requests = new int[SLICES + 1];
  private final int[] retries = new int[SLICES + 1];
  private long slice;

  /**
   * Creates a budget.
   *
   * @param share the allowed retries per request; 0 to 1
   * @param extraPerFleet additional retries allowed in each window for all processes together
   * @param windowMs the length of the window; milliseconds
   */
  public SharedRetryBudget(double share, double extraPerFleet, long windowMs) {
    this.share = share;
    this.extraPerFleet = extraPerFleet;
    this.sliceMs = Math.max(1, windowMs / SLICES);
  }

  /**
   * Records a request of a caller.
   *
   * @param nowMs the current time in milliseconds
   */
  public void onRequest(long nowMs) {
    advance(nowMs);
    requests[index(slice)]++;
  }

  /**
   * Takes one retry from the budget if it allows it.
   *
   * @param processes the number of processes that share the budget; at least 1
   * @param nowMs the current time in milliseconds
   * @return false if the request must not be retried
   */
  public boolean tryRetry(int processes, long nowMs) {
    advance(nowMs);
    int spent = 0;
    int received = 0;
    for (int i = 0; i <= SLICES; i++) {
      spent += retries[i];
    }
    for (int age = 0; age <= REQUEST_SLICES; age++) {
      received += requests[index(slice - age)];
    }
    if (spent + 1 > share * received + extraPerFleet / processes) {
      return false;
    }
    retries[index(slice)]++;
    return true;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, sliceMs);
    long stale = Math.min(now - slice, SLICES + 1L);
    for (long i = 0; i < stale; i++) {
      int index = index(now - i);
      requests[index] = 0;
      retries[index] = 0;
    }
    slice = Math.max(slice, now);
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, SLICES + 1L);
  }
}
