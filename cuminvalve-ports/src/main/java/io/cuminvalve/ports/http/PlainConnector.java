package io.cuminvalve.ports.http;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections without TLS.
 *
 * <p>Jetty initialises TLS when it starts, even if it is not used; reading the trusted certificates
 * takes about a fifth of the CPU time of a process start.
 *
 * @since 0.2
 */
public class PlainConnector extends ClientConnector {

  @Override
  protected SslContextFactory.Client newSslContextFactory() {
    return new UnusedTls();
  }

  /** Creates no TLS context, so it cannot be used for encryption. */
  private static final class UnusedTls extends SslContextFactory.Client {

    @Override
    protected void doStart() {
      // Skips loading the trusted certificates.
    }
  }
}
