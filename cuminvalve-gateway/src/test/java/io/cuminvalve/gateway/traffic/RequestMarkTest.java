package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** A request counts as in progress from when it is handed over until its response is written. */
class RequestMarkTest {

  private final VirtualClock clock = new VirtualClock(10_000);
  private final TrafficFixture traffic = new TrafficFixture(new RoutingState(1), clock);
  private final TrafficFixture starting = new TrafficFixture(new RoutingState(1), clock, false);

  /** The next request of the connection may begin as soon as the response is complete. */
  @Test
  void theMarkIsRemovedBeforeTheConnectionGoesOn() {
    List<String> order = new ArrayList<>();
    Callback completion = Callback.from(() -> order.add("completed"));
    traffic.endUnsent(completion, () -> order.add("unmarked"));
    assertThat(order).containsExactly("unmarked", "completed").inOrder();
  }

  @Test
  void requestsThatWaitForTheConfigurationAreInProgress() {
    GatewayHandler handler = starting.handler();
    starting.handle(handler, Callback.NOOP);
    assertThat(handler.inFlight()).isEqualTo(1);
  }

  @Test
  void requestsOfOneConnectionCountEach() {
    GatewayHandler handler = starting.handler();
    starting.handle(handler, Callback.NOOP);
    starting.handle(handler, Callback.NOOP);
    assertThat(handler.inFlight()).isEqualTo(2);
  }
}
