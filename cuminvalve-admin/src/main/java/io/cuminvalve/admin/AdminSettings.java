package io.cuminvalve.admin;

import io.cuminvalve.kernel.SharedKey;

/**
 * Where the admin port listens and whom it lets in.
 *
 * @param bindHost the IP address to listen on; not null
 * @param bindPort the port to listen on; 0 for any free one
 * @param sharedKey what operators prove to know, by a signature or by the header {@value
 *     #KEY_HEADER}; not null
 * @since 0.1
 */
public record AdminSettings(String bindHost, int bindPort, SharedKey sharedKey) {

  /**
   * The header that carries the shared key itself, for the status page and for requests by hand.
   * The command line signs its requests instead, which does not show the key on the way.
   */
  public static final String KEY_HEADER = "Cuminvalve-Admin-Key";
}
