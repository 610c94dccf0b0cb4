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
 * Requests whose caller disconnects, or whose deadline passes, before the gateway's threads process
 * them.
 *
 * <p>Time is virtual; the time limit only ends a build that would otherwise hang.
 */
@Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerDisconnectTest {

  /** Several, since the thread that reads the close races against the one that sends. */
  private static final int CALLERS = 20;

  private static final long DEADLINE_MS = 60_000;
  private static final long DISCONNECTED_MS = 2_000;

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

  /** Guards against missing a close that follows the request on an unread connection. */
  @Test
  void requestsOfCallersThatLeftBeforeTheyWereReadReachNoTarget() throws Exception {
    gateway.configure().openTargetConnections(CALLERS);
    gateway.blockCallerThreads();
    for (int i = 0; i < CALLERS; i++) {
      gateway.connect().send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against missing a close that follows the request on a reused connection. */
  @Test
  void requestsOnKeptConnectionsWhoseCallersLeftReachNoTarget() throws Exception {
    gateway.configure().openTargetConnections(CALLERS);
    List<Call> kept = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Call call = gateway.connect().send("first-" + i, "/files/", DEADLINE_MS);
      assertThat(call.status()).isEqualTo(200);
      kept.add(call);
    }
    gateway.blockCallerThreads();
    for (int i = 0; i < CALLERS; i++) {
      kept.get(i).send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against missing a close that follows the last byte of a late body. */
  @Test
  void requestsOfCallersThatLeftBehindTheirBodyReachNoTarget() throws Exception {
    gateway.configure().openTargetConnections(CALLERS);
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      calls.add(gateway.connect().sendPart("gone-" + i, DEADLINE_MS, 4, "bo"));
    }
    StallableGateway.await(() -> gateway.inFlight() == CALLERS);
    gateway.blockCallerThreads();
    for (Call call : calls) {
      call.write("dy").close();
    }
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against forwarding an incomplete request. */
  @Test
  void requestsOfCallersThatLeftWithinTheirBodyReachNoTarget() throws Exception {
    gateway.configure().openTargetConnections(1);
    Call call = gateway.connect().sendPart("gone-0", DEADLINE_MS, 4, "bo");
    StallableGateway.await(() -> gateway.inFlight() == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against missing a close while the request is held for the first configuration. */
  @Test
  void requestsHeldForTheConfigurationWhoseCallersLeftReachNoTarget() throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      gateway.connect().send("gone-" + i, "/files/", DEADLINE_MS).close();
    }
    StallableGateway.await(() -> gateway.clockReads() >= CALLERS);
    gateway.advance(DISCONNECTED_MS);
    gateway.configure();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against a close during the connect to the target that is read too late. */
  @Test
  void requestsThatWaitForConnectionsReachNoTargetIfTheCloseIsUnread() throws Exception {
    gateway.configure().blockSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.blockedSends() == 1);
    gateway.blockCallerThreads();
    call.close();
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockSends();
    StallableGateway.await(
        () -> gateway.hasLogged("event=send_stopped id=gone-0") || target.arrivalsOf("gone-0") > 0);
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against missing a close behind more pipelined bytes than are read ahead. */
  @Test
  void requestsReachNoTargetIfTheCloseLiesBehindLongPipelinedRequests() throws Exception {
    gateway.configure().blockSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.blockedSends() == 1);
    call.write("GET /files/ HTTP/1.1\r\nHost: h.example\r\nX-Long: " + "x".repeat(8_000)).close();
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockSends();
    StallableGateway.await(
        () ->
            gateway.hasLogged("event=send_stopped id=gone-0")
                || target.arrivalsOf("gone-0") > 0
                || gateway.inFlight() == 0);
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against ignoring a close that is read during the connect to the target. */
  @Test
  void requestsThatWaitForConnectionsReachNoTargetIfTheCloseIsRead() throws Exception {
    gateway.configure().blockSends();
    Call call = gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    StallableGateway.await(() -> gateway.blockedSends() == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    gateway.unblockSends();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  /** Guards against a retry after a refusal by the target while the close is still unread. */
  @Test
  void requestsOfCallersThatLeftAreNotRepeatedIfTheCloseIsUnread() throws Exception {
    gateway.configure().openTargetConnections(2);
    String id = RawTarget.REFUSED_LATE + 0;
    Call call = gateway.connect().send(id, "/files/", DEADLINE_MS);
    StallableGateway.await(() -> target.arrivalsOf(id) == 1);
    gateway.blockCallerThreads();
    call.close();
    gateway.advance(DISCONNECTED_MS);
    target.releaseResponses();
    StallableGateway.await(() -> gateway.hasLogged("event=request_refused_by_target id=" + id));
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(target.arrivalsOf(id)).isEqualTo(1);
  }

  /** Guards against a retry although the close was read. */
  @Test
  void requestsOfCallersThatLeftAreNotRepeatedIfTheCloseIsRead() throws Exception {
    gateway.configure().openTargetConnections(1);
    String id = RawTarget.REFUSED_LATE + 0;
    Call call = gateway.connect().send(id, "/files/", DEADLINE_MS);
    StallableGateway.await(() -> target.arrivalsOf(id) == 1);
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0);
    target.releaseResponses();
    gateway.drainAndStop();
    assertThat(target.arrivalsOf(id)).isEqualTo(1);
  }

  /** Guards against ignoring the time that a request spent in the accept queue and the socket. */
  @Test
  void timeBeforeTheRequestIsReadIsTakenOffWhatTheTargetIsTold() throws Exception {
    gateway.configure().openTargetConnections(1);
    gateway.blockCallerThreads();
    Call call = gateway.connect().send("waits", "/files/", DEADLINE_MS);
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    assertThat(call.status()).isEqualTo(200);
    assertThat(deadlineOf("waits")).isAtMost(DEADLINE_MS - DISCONNECTED_MS);
  }

  /** Guards against ignoring the time that a request spent in the socket of a reused connection. */
  @Test
  void timeInTheSocketOfKeptConnectionsIsTakenOffWhatTheTargetIsTold() throws Exception {
    gateway.configure().openTargetConnections(1);
    Call call = gateway.connect().send("first", "/files/", DEADLINE_MS);
    assertThat(call.status()).isEqualTo(200);
    gateway.blockCallerThreads();
    call.send("waits", "/files/", DEADLINE_MS);
    gateway.advance(DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    assertThat(call.status()).isEqualTo(200);
    assertThat(deadlineOf("waits")).isAtMost(DEADLINE_MS - DISCONNECTED_MS);
  }

  /** Guards against missing a deadline that passed while the request was in the socket. */
  @Test
  void requestsWhoseTimeEndedBeforeTheyWereReadReachNoTarget() throws Exception {
    gateway.configure().openTargetConnections(1);
    gateway.blockCallerThreads();
    gateway.connect().send("gone-0", "/files/", DEADLINE_MS);
    gateway.advance(DEADLINE_MS + DISCONNECTED_MS);
    gateway.unblockCallerThreads();
    gateway.drainAndStop();
    assertThat(arrivalsFromDisconnectedCallers()).isEmpty();
  }

  private List<Arrival> arrivalsFromDisconnectedCallers() {
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
