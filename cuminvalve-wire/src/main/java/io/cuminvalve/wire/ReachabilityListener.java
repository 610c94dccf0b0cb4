package io.cuminvalve.wire;

/**
 * Receives changes of the reachability of peers.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ReachabilityListener {

  /**
   * Handles a change; called on the executor of the network.
   *
   * @param peerAddress the address of the peer; not null
   * @param reachability the new state; not null
   */
  void onChange(String peerAddress, Reachability reachability);
}
