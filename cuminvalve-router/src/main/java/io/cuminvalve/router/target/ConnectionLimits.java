package io.cuminvalve.router.target;

import java.net.InetSocketAddress;

/**
 * Says how many connections this router may hold to a target.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConnectionLimits {

  /**
   * Returns the bound for one target.
   *
   * @param address where the target listens; not null
   * @return at least 1
   */
  int maxConnections(InetSocketAddress address);
}
