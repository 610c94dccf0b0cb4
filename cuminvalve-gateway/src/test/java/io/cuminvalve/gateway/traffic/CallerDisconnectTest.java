package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.traffic.RawTarget.Arrival;
import io.cuminvalve.gateway.traffic.StallableGateway.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests of callers that leave, or whose time ends, before the gateway's threads get to them.
 *
 * <p>Time is virtual; the time limit only ends a build that would wait for ever.
 */
@Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerDisconnectTest {

  /** Several, since a thread that reads the close may win against the one that sends. */
  private static final int CALLERS = 20;

  private static final long DEADLINE_MS = 60_000;
  private static final long LONG_GONE_MS = 2_000;

  private RawTarget target;
  private StallableGateway gateway;

  @BeforeEach
  void setUp() throws Exception {
    target = new RawTarget();
    gateway = new StallableGateway(target);
  }

  @AfterEach
  void tearDown() throws Exception {
    gateway.close();
    target.close();
  }

  /** Guards against: the close lies behind the request on a connection that nobody has read. */
  @Test
  void requestsOfCallersThatLeftBeforeTheyWereReadReachNoTarget() throws Exception {
    gateway.configure().warm(CALLERS);
    gateway.holdCallerThreads();
    for (int i = 0; i < CALLERS; i++) {
      gateway.connect().send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    gateway.pass(LONG_GONE_MS);
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the same on a connection that has been used before. */
  @Test
  void requestsOnKeptConnectionsWhoseCallersLeftReachNoTarget() throws Exception {
    gateway.configure().warm(CALLERS);
    List<Call> kept = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Call call = gateway.connect().send("first-" + i, "/files/", DEADLINE_MS);
      assertThat(call.status()).isEqualTo(200);
      kept.add(call);
    }
    gateway.holdCallerThreads();
    for (int i = 0; i < CALLERS; i++) {
      kept.get(i).send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    gateway.pass(LONG_GONE_MS);
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the close lies behind the last byte of a body that came late. */
  @Test
  void requestsOfCallersThatLeftBehindTheirBodyReachNoTarget() throws Exception {
    gateway.configure().warm(CALLERS);
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      calls.add(gateway.connect().sendPart("gone-" + i, DEADLINE_MS, 4, "bo"));
    }
    StallableGateway.await(() -> gateway.inFlight() == CALLERS);
    gateway.holdCallerThreads();
    for (Call call : calls) {
      call.write("dy").close();
    }
    gateway.pass(LONG_GONE_MS);
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: a request that is not whole is sent on. */
  @Test
  void requestsOfCallersThatLeftWithinTheirBodyReachNoTarget() throws Exception {
    gateway.configure().warm(1);
    Call call = gateway.connect().sendPart("gone-0", DEADLINE_MS, 4, "bo");
    StallableGateway.await(() -> gateway.inFlight() == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: a caller leaves while its request is held for the first configuration. */
  @Test
  void requestsHeldForTheConfigurationWhoseCallersLeftReachNoTarget() throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      gateway.connect().send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    StallableGateway.await(() -> gateway.readings() >= CALLERS);
    gateway.pass(LONG_GONE_MS);
    gateway.configure();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the caller leaves during the connect, and its close is read too late. */
  @Test
  void requestsThatWaitForConnectionsReachNoTargetIfTheCloseIsUnread() throws Exception {
    gateway.configure().holdSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.sendsHeld() == 1);
    gateway.holdCallerThreads();
    call.close();
    gateway.pass(LONG_GONE_MS);
    gateway.freeSends();
    StallableGateway.await(
        () -> gateway.hasLogged("event=send_stopped id=gone-0") || target.arrivalsOf("gone-0") > 0);
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the close lies behind more bytes of a next request than were read ahead. */
  @Test
  void requestsReachNoTargetIfTheCloseLiesBehindLongPipelinedRequests() throws Exception {
    gateway.configure().holdSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.sendsHeld() == 1);
    call.write("GET /files/ HTTP/1.1\r\nHost: h.example\r\nX-Long: " + "x".repeat(8_000)).close();
    gateway.pass(LONG_GONE_MS);
    gateway.freeSends();
    StallableGateway.await(
        () ->
            gateway.hasLogged("event=send_stopped id=gone-0")
                || target.arrivalsOf("gone-0") > 0
                || gateway.inFlight() == 0);
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the caller leaves during the connect, which is noticed but has no effect. */
  @Test
  void requestsThatWaitForConnectionsReachNoTargetIfTheCloseIsRead() throws Exception {
    gateway.configure().holdSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.sendsHeld() == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    gateway.freeSends();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  /** Guards against: the target refuses, and the request is repeated though the close is unread. */
  @Test
  void requestsOfCallersThatLeftAreNotRepeatedIfTheCloseIsUnread() throws Exception {
    gateway.configure().warm(2);
    String id = RawTarget.REFUSED_LATE + 0;
    Call call = gateway.connect().send(id, "/files/", DEADLINE_MS);
    StallableGateway.await(() -> target.arrivalsOf(id) == 1);
    gateway.holdCallerThreads();
    call.close();
    gateway.pass(LONG_GONE_MS);
    target.answerWaiting();
    StallableGateway.await(() -> gateway.hasLogged("event=request_refused_by_target id=" + id));
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(target.arrivalsOf(id)).isEqualTo(1);
  }

  /** Guards against: a request is repeated though the close was noticed. */
  @Test
  void requestsOfCallersThatLeftAreNotRepeatedIfTheCloseIsRead() throws Exception {
    gateway.configure().warm(1);
    String id = RawTarget.REFUSED_LATE + 0;
    Call call = gateway.connect().send(id, "/files/", DEADLINE_MS);
    StallableGateway.await(() -> target.arrivalsOf(id) == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    target.answerWaiting();
    gateway.settle();
    assertThat(target.arrivalsOf(id)).isEqualTo(1);
  }

  /** Guards against: time in the accept queue and the socket does not count. */
  @Test
  void timeBeforeTheRequestIsReadIsTakenOffWhatTheTargetIsTold() throws Exception {
    gateway.configure().warm(1);
    gateway.holdCallerThreads();
    Call call = gateway.connect().send("waits", "/files/", DEADLINE_MS);
    gateway.pass(LONG_GONE_MS);
    gateway.freeCallerThreads();
    assertThat(call.status()).isEqualTo(200);
    assertThat(deadlineOf("waits")).isAtMost(DEADLINE_MS - LONG_GONE_MS);
  }

  /** Guards against: the same on a connection that has been used before. */
  @Test
  void timeInTheSocketOfKeptConnectionsIsTakenOffWhatTheTargetIsTold() throws Exception {
    gateway.configure().warm(1);
    Call call = gateway.connect().send("first", "/files/", DEADLINE_MS);
    assertThat(call.status()).isEqualTo(200);
    gateway.holdCallerThreads();
    call.send("waits", "/files/", DEADLINE_MS);
    gateway.pass(LONG_GONE_MS);
    gateway.freeCallerThreads();
    assertThat(call.status()).isEqualTo(200);
    assertThat(deadlineOf("waits")).isAtMost(DEADLINE_MS - LONG_GONE_MS);
  }

  /** Guards against: a deadline that passed in the socket looks open when the head is read. */
  @Test
  void requestsWhoseTimeEndedBeforeTheyWereReadReachNoTarget() throws Exception {
    gateway.configure().warm(1);
    gateway.holdCallerThreads();
    gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    gateway.pass(DEADLINE_MS + LONG_GONE_MS);
    gateway.freeCallerThreads();
    gateway.settle();
    assertThat(arrivalsOfGone()).isEmpty();
  }

  private List<Arrival> arrivalsOfGone() {
    return target.arrivals().stream().filter(each -> each.id().startsWith("gone-")).toList();
  }

  private long deadlineOf(String id) {
    return target.arrivals().stream()
        .filter(each -> each.id().equals(id))
        .findFirst()
        .orElseThrow()
        .deadlineMs();
  }
}
