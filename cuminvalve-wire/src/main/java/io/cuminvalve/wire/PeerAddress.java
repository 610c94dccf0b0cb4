package io.cuminvalve.wire;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses and formats peer addresses. Never resolves host names.
 *
 * @since 0.1
 */
final class PeerAddress {

  private static final Pattern IP_NUMBER = Pattern.compile("[0-9.]+|\\[[0-9A-Fa-f:.]+]");
  private static final int MAX_PORT = 65_535;

  private PeerAddress() {}

  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    if (!IP_NUMBER.matcher(host).matches()) {
      throw invalid(text);
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (port < 1 || port > MAX_PORT) {
        throw invalid(text);
      }
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException | UnknownHostException malformed) {
      throw invalid(text);
    }
  }

  static String format(String host, int port) {
    return host.indexOf(':') < 0 ? host + ":" + port : "[" + host + "]:" + port;
  }

  private static CodedException invalid(String text) {
    return new CodedException(ErrorCode.INVALID_INPUT, "not an IP address with a port: " + text);
  }
}
