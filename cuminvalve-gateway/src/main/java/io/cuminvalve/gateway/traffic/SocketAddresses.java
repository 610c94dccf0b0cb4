package io.cuminvalve.gateway.traffic;

import java.net.InetSocketAddress;

/** Parses the addresses by which targets and peers are known. */
final class SocketAddresses {

  private SocketAddresses() {}

  /**
   * Parses an address.
   *
   * @param address IP address and port, separated by a colon; not null
   * @return never null
   */
  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
