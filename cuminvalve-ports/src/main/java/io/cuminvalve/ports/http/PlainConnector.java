package io.cuminvalve.ports.http;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections without TLS.
 *
 * <p>The library prepares TLS at its start, whether it is used or not; reading the trusted
 * certificates takes about a fifth of the processor time of a start.
 *
 * @since 0.2
 */
public class PlainConnector extends ClientConnector {

  @Override
  protected SslContextFactory.Client newSslContextFactory() {
    return new UnusedTls();
  }

  /** Never makes a context, so nothing can be encrypted with it. */
  private static final class UnusedTls extends SslContextFactory.Client {

    @Override
    protected void doStart() {
      // There is nothing to prepare.
    }
  }
}
