package io.cuminvalve.core.locality;

/**
 * Decides whether a request that any target of a service may run leaves its data centre.
 *
 * <p>Load: data centres with uneven demand, connected by links that are dear or narrow. A caller
 * gains nothing from a response that is earlier than it needs it, so a request stays at home while
 * the local targets can respond within its aim, and leaves when they can't and others are faster.
 *
 * @since 0.2
 */
public final class LocalityRule {

  /**
   * Share of the time left to the aim within which the expected response is early enough. Responses
   * that take twice the expected time are still within the aim.
   */
  private static final double EARLY_ENOUGH_SHARE = 0.5;

  private LocalityRule() {}

  /**
   * Returns whether to send a request to the best local target.
   *
   * @param localMs the expected time until the response of the best local target; milliseconds
   * @param remoteMs the expected time until the response of the best remote target; milliseconds
   * @param leftToAimMs the time left of the latency objective; milliseconds, not positive if it has
   *     passed
   * @return false if the remote target is to run it
   */
  public static boolean staysLocal(double localMs, double remoteMs, double leftToAimMs) {
    return localMs <= remoteMs || localMs <= leftToAimMs * EARLY_ENOUGH_SHARE;
  }
}
