package io.cuminvalve.gateway.traffic;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves readiness checks on their own port; passes requests on other ports on. */
final class ReadinessHandler extends Handler.Wrapper {

  private final Connector readinessConnector;
  private final String path;
  private final BooleanSupplier ready;

  ReadinessHandler(
      Connector readinessConnector, String path, BooleanSupplier ready, Handler traffic) {
    super(traffic);
    this.readinessConnector = readinessConnector;
    this.path = path;
    this.ready = ready;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (request.getConnectionMetaData().getConnector() != readinessConnector) {
      return super.handle(request, response, callback);
    }
    boolean pathMatches = path.equals(request.getHttpURI().getPath());
    int status = ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
    CallerResponseWriter.writeEmpty(
        response, pathMatches ? status : HttpStatus.NOT_FOUND_404, 0, false, callback);
    return true;
  }
}
