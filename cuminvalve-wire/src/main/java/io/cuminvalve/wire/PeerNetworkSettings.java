package io.cuminvalve.wire;

import io.cuminvalve.kernel.SharedKey;

/**
 * Settings of the peer network of a process.
 *
 * @param bindHost the IP address to listen on; not null
 * @param bindPort the port to listen on; 0 for any free port
 * @param sharedKey authenticates the peers of an installation; not null
 * @param connectTimeoutMs timeout of connecting and of the handshake; milliseconds
 * @param keepAliveMs interval between keep-alive frames on a link; milliseconds
 * @param silentAfterMs time without data after a keep-alive frame was sent, after which the peer is
 *     reported as silent; milliseconds
 * @param backoffMinMs minimum back-off before reconnecting; milliseconds
 * @param backoffMaxMs maximum back-off before reconnecting; milliseconds
 * @param queueCapacity maximum number of queued outgoing messages per connection; at least 1
 * @since 0.1
 */
public record PeerNetworkSettings(
    String bindHost,
    int bindPort,
    SharedKey sharedKey,
    long connectTimeoutMs,
    long keepAliveMs,
    long silentAfterMs,
    long backoffMinMs,
    long backoffMaxMs,
    int queueCapacity) {

  /**
   * Returns settings with the default timings and queue capacity.
   *
   * @param bindHost the IP address to listen on; not null
   * @param bindPort the port to listen on; 0 for any free port
   * @param sharedKey authenticates the peers of an installation; not null
   * @return never null
   */
  public static PeerNetworkSettings usual(String bindHost, int bindPort, SharedKey sharedKey) {
    return new PeerNetworkSettings(bindHost, bindPort, sharedKey, 500, 100, 300, 20, 1000, 1024);
  }
}
