package io.cuminvalve.router.target;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Passes over each "continue" response.
 *
 * <p>The library passes over the first one of a request. It takes the second for the answer, and
 * then waits for the end of that.
 */
final class RepeatedContinueHandler extends ContinueProtocolHandler {

  @Override
  public boolean accept(Request request, Response response) {
    return response.getStatus() == HttpStatus.CONTINUE_100 || super.accept(request, response);
  }
}
