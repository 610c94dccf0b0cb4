package io.cuminvalve.config;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads addresses of the form {@code 10.0.0.1:9001} or {@code [2001:db8::1]:9001}.
 *
 * <p>Names are refused: processes talk by IP numbers and nothing here asks a name service.
 *
 * @since 0.1
 */
public final class IpAddresses {

  private static final Pattern IP_V4 = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");
  private static final Pattern IP_V6 = Pattern.compile("\\[([0-9A-Fa-f:.]+)]:(\\d{1,5})");
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;

  private IpAddresses() {}

  /**
   * Reads an address.
   *
   * @param text the text; not null
   * @return the address, resolved without a name service
   * @throws CodedException with code INVALID_INPUT if it is no IP address with a port
   */
  public static InetSocketAddress parse(String text) {
    return tryParse(text)
        .orElseThrow(
            () ->
                new CodedException(ErrorCode.INVALID_INPUT, "no IP address with a port: " + text));
  }

  /**
   * Reads an address if there is one.
   *
   * @param text the text; not null
   * @return the address, or empty if the text is no IP address with a port
   */
  public static Optional<InetSocketAddress> tryParse(String text) {
    Matcher v4 = IP_V4.matcher(text);
    if (v4.matches() && hasValidOctets(v4.group(1))) {
      return socketAddress(v4.group(1), v4.group(2));
    }
    Matcher v6 = IP_V6.matcher(text);
    if (v6.matches() && v6.group(1).contains(":")) {
      return socketAddress(v6.group(1), v6.group(2));
    }
    return Optional.empty();
  }

  /**
   * Writes an address in the form that {@link #parse} reads.
   *
   * @param address a resolved address; not null
   * @return the text
   */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }

  private static boolean hasValidOctets(String host) {
    for (String octet : host.split("\\.", -1)) {
      if (Integer.parseInt(octet) > MAX_OCTET) {
        return false;
      }
    }
    return true;
  }

  private static Optional<InetSocketAddress> socketAddress(String host, String port) {
    int portNumber = Integer.parseInt(port);
    if (portNumber > MAX_PORT) {
      return Optional.empty();
    }
    try {
      return Optional.of(new InetSocketAddress(InetAddress.getByName(host), portNumber));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }
}
