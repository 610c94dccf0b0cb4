package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.testkit.time.VirtualClock;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** A request that is ended by a stop before it has entered a phase gets a response. */
class StopBetweenPhasesTest {

  private final VirtualClock clock = new VirtualClock(10_000);
  private final TrafficFixture traffic = new TrafficFixture(new RoutingState(1), clock);

  /** Guards against requests without a response: none could be written after the early end. */
  @Test
  void requestsThatAreBeingRoutedAtTheStopLimitAreAnswered() {
    GatewayHandler handler = traffic.handler();
    boolean[] completed = {false};
    traffic.handle(
        handler, endingRequestsWhenRouted(handler), Callback.from(() -> completed[0] = true));
    assertThat(completed[0]).isTrue();
    assertThat(handler.inFlight()).isEqualTo(0);
  }

  /** Returns a request that, when its path is read to route it, lets the stop limit pass. */
  private static Request endingRequestsWhenRouted(GatewayHandler handler) {
    Request request = TrafficFixture.request();
    return (Request)
        Proxy.newProxyInstance(
            StopBetweenPhasesTest.class.getClassLoader(),
            new Class<?>[] {Request.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("getHttpURI")) {
                handler.endRequests();
                return HttpURI.from("http://h.example/unknown");
              }
              try {
                return method.invoke(request, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }
}
