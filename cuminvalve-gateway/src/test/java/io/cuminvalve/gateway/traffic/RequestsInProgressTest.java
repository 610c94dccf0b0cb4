package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** The end of a stop against requests that come at the same moment. */
class RequestsInProgressTest {

  private final RequestsInProgress requests = new RequestsInProgress();

  private RequestInProgress on(Request request) {
    return new RequestInProgress(requests, request, null, Callback.NOOP, UpperTime.NEVER);
  }

  @Test
  void noRequestIsAdmittedAfterTheLastOneWasCounted() {
    RequestInProgress last = on(TrafficFixture.request());
    assertThat(requests.add(last)).isTrue();
    assertThat(requests.closeIfEmpty()).isFalse();
    last.end();
    assertThat(requests.closeIfEmpty()).isTrue();
    RequestInProgress late = on(TrafficFixture.request());
    assertThat(requests.add(late)).isFalse();
    assertThat(requests.size()).isEqualTo(1);
    late.callback().succeeded();
    assertThat(requests.size()).isEqualTo(0);
  }

  @Test
  void connectionsWithRequestsAreNeverIdle() {
    Request request = TrafficFixture.request();
    RequestInProgress first = on(request);
    RequestInProgress next = on(request);
    requests.add(first);
    requests.add(next);
    first.end();
    first.end();
    assertThat(requests.claimIdle(next.endPoint())).isFalse();
    next.end();
    assertThat(requests.claimIdle(next.endPoint())).isTrue();
  }

  @Test
  void requestsOnConnectionsThatAreBeingClosedAreNotAdmitted() {
    RequestInProgress crossing = on(TrafficFixture.request());
    assertThat(requests.claimIdle(crossing.endPoint())).isTrue();
    assertThat(requests.add(crossing)).isFalse();
  }

  @Test
  void requestsThatAreAnsweredAreNotEndedAgain() {
    int[] ended = {0};
    RequestInProgress held = on(TrafficFixture.request());
    RequestInProgress answered = on(TrafficFixture.request());
    requests.add(held);
    requests.add(answered);
    assertThat(held.enter(RequestPhase.HELD, () -> ended[0]++)).isTrue();
    assertThat(answered.enter(RequestPhase.HELD, () -> ended[0]++)).isTrue();
    assertThat(answered.enterAnswering()).isTrue();
    requests.endAll();
    requests.endAll();
    assertThat(ended[0]).isEqualTo(1);
    assertThat(held.enter(RequestPhase.READING, () -> ended[0]++)).isFalse();
  }
}
