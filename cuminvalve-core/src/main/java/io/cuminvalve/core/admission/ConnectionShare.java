package io.cuminvalve.core.admission;

/**
 * Divides the connection limit of a target among the routers.
 *
 * @since 0.1
 */
public final class ConnectionShare {

  /** Allows for a router that joins before the others have learned of it. */
  private static final int JOINING_ROUTERS = 1;

  private ConnectionShare() {}

  /**
   * Returns the maximum number of connections of one router to a target.
   *
   * @param maxConnections the number of connections that the target accepts
   * @param routers the number of registered routers
   * @return at least 1; the sum over all routers does not exceed {@code maxConnections} if that is
   *     larger than the number of routers
   */
  public static int of(int maxConnections, int routers) {
    return Math.max(1, maxConnections / (routers + JOINING_ROUTERS));
  }
}
