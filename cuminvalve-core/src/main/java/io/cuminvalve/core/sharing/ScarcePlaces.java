package io.cuminvalve.core.sharing;

/**
 * Tells whether the places of a target are few for the gateways that share it.
 *
 * <p>Load: 60 gateways send to a target that holds 15 requests.
 *
 * @since 0.2
 */
public final class ScarcePlaces {

  /** Requests allowed at a target by all gateways together, per slot of the target. */
  public static final int REQUESTS_PER_SLOT = 6;

  private ScarcePlaces() {}

  /**
   * Returns whether an equal part of the target's places is less than one request a gateway. Each
   * gateway sends one request at a time at least, so then all gateways together may send more than
   * the target holds, and a gateway's own limit tells little of the target's queue.
   *
   * @param slots requests that the target runs at the same time; at least 1
   * @param processes gateways that run; at least 1
   * @return whether places are scarce
   */
  public static boolean isScarce(int slots, int processes) {
    return (long) slots * REQUESTS_PER_SLOT < processes;
  }
}
