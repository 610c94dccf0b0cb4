package io.cuminvalve.gateway.observe;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallOutcome;
import org.junit.jupiter.api.Test;

class MetricsPageTest {

  private final RequestMetrics requests = new RequestMetrics();
  private final DecisionLog log = new DecisionLog(() -> 0, 1, line -> {});
  private final StoreCallMetrics storeCalls = new StoreCallMetrics();
  private final MetricsPage page =
      new MetricsPage(requests, storeCalls, new UnknownFields(log), log);

  @Test
  void requestsAreCountedByRouteAndOutcome() {
    requests.onEnded("claims", RequestOutcome.ANSWERED, 120);
    requests.onEnded("claims", RequestOutcome.ANSWERED, 20_000);
    requests.onEnded("claims", RequestOutcome.REFUSED, 5);
    String text = text();
    assertThat(text).contains("cuminvalve_requests_total{outcome=\"answered\",route=\"claims\"} 2");
    assertThat(text).contains("cuminvalve_requests_total{outcome=\"refused\",route=\"claims\"} 1");
    assertThat(text).contains("cuminvalve_request_seconds_bucket{route=\"claims\",le=\"0.1\"} 0");
    assertThat(text).contains("cuminvalve_request_seconds_bucket{route=\"claims\",le=\"0.15\"} 1");
    assertThat(text).contains("cuminvalve_request_seconds_bucket{route=\"claims\",le=\"10.0\"} 1");
    assertThat(text).contains("cuminvalve_request_seconds_bucket{route=\"claims\",le=\"+Inf\"} 2");
    assertThat(text).contains("cuminvalve_request_seconds_sum{route=\"claims\"} 20.12");
  }

  /** Distinguishes requests that waited in the gateway from those that waited unread. */
  @Test
  void timeFromArrivalToFirstByteIsMeasured() {
    requests.onSent(120);
    requests.onSent(700);
    String text = text();
    assertThat(text).contains("cuminvalve_request_send_seconds_bucket{le=\"0.1\"} 0");
    assertThat(text).contains("cuminvalve_request_send_seconds_bucket{le=\"0.15\"} 1");
    assertThat(text).contains("cuminvalve_request_send_seconds_sum 0.82");
  }

  @Test
  void routesBeyondTheMaximumAreCountedTogether() {
    for (int i = 0; i < RequestMetrics.MAX_ROUTES + 10; i++) {
      requests.onEnded("route-" + i, RequestOutcome.ANSWERED, 1);
    }
    assertThat(text())
        .contains("cuminvalve_requests_total{outcome=\"answered\",route=\"other\"} 10");
  }

  @Test
  void decisionsAreCountedEvenIfTheirLinesAreSuppressed() {
    log.write("keys_moved", "x=1");
    log.write("keys_moved", "x=2");
    requests.onGivenUp("owner_busy");
    String text = text();
    assertThat(text).contains("cuminvalve_events_total{event=\"keys_moved\"} 2");
    assertThat(text).contains("cuminvalve_given_up_total{reason=\"owner_busy\"} 1");
  }

  @Test
  void storeCallsAreCountedByKindAndOutcome() {
    storeCalls.onEnded(StoreCall.WATCH, StoreCallOutcome.REFUSED);
    storeCalls.onEnded(StoreCall.WATCH, StoreCallOutcome.REFUSED);
    storeCalls.onEnded(StoreCall.LEASE_KEEP, StoreCallOutcome.ANSWERED);
    storeCalls.onEnded(StoreCall.LIST, StoreCallOutcome.HELD_BACK);
    String text = text();
    assertThat(text).contains("cuminvalve_store_calls_total{call=\"watch\",end=\"refused\"} 2");
    assertThat(text).contains("cuminvalve_store_calls_total{call=\"watch\",end=\"answered\"} 0");
    assertThat(text).contains("{call=\"lease_keep\",end=\"answered\"} 1");
    assertThat(storeCalls.made()).isEqualTo(3);
  }

  @Test
  void gaugesAreReadOnEachScrape() {
    double[] value = {1};
    page.addGauge("cuminvalve_thing", "A thing.", () -> value[0]);
    assertThat(text()).contains("cuminvalve_thing 1.0");
    value[0] = 2;
    assertThat(text()).contains("cuminvalve_thing 2.0");
  }

  private String text() {
    return new String(page.render(), UTF_8);
  }
}
