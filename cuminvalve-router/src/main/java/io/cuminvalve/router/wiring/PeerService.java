package io.cuminvalve.router.wiring;

import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.wire.TcpPeerNetwork;

/**
 * Starts and closes the network of our own processes.
 *
 * @since 0.1
 */
public final class PeerService implements ManagedService {

  private final TcpPeerNetwork network;

  /**
   * Creates the service.
   *
   * @param network the network; not null
   */
  public PeerService(TcpPeerNetwork network) {
    this.network = network;
  }

  /**
   * Returns the address on which peers reach this process.
   *
   * @return IP address and port, never null
   */
  public String localAddress() {
    return network.localAddress();
  }

  @Override
  public void start() {
    network.start();
  }

  @Override
  public void stop() {
    network.close();
  }
}
