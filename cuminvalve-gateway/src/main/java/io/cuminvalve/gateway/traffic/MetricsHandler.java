package io.cuminvalve.gateway.traffic;

import io.cuminvalve.gateway.observe.MetricsPage;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the metrics page on the metrics port; passes other requests on. */
final class MetricsHandler extends Handler.Wrapper {

  private static final String TEXT_FORMAT = "text/plain; version=0.0.4; charset=utf-8";

  private final Connector connector;
  private final MetricsPage page;

  MetricsHandler(Optional<? extends Connector> connector, MetricsPage page, Handler traffic) {
    super(traffic);
    this.connector = connector.orElse(null);
    this.page = page;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (connector == null || request.getConnectionMetaData().getConnector() != connector) {
      return super.handle(request, response, callback);
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, TEXT_FORMAT);
    response.write(true, ByteBuffer.wrap(page.render()), callback);
    return true;
  }
}
