package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.gateway.traffic.RawCall.Reply;
import io.cuminvalve.gateway.traffic.RawTarget.Received;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests at a gateway without a path to the targets, sent by a peer that has one. Both are real
 * servers on real sockets.
 *
 * <p>The time limit only ends a build that would otherwise hang.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RelayTest {

  private static final int LARGE_BYTES = 200_000;
  private static final String SIGNATURE = "X-Response-Signature";

  private final List<AutoCloseable> opened = new ArrayList<>();

  @AfterEach
  void tearDown() throws Exception {
    for (int i = opened.size() - 1; i >= 0; i--) {
      opened.get(i).close();
    }
  }

  @Test
  void requestsAreServedThroughPeersUnchanged() throws Exception {
    RawTarget target = target((connection, id) -> signed(id, "418 Odd", "the body"));
    RelayGateway cut = cut(reaching(target).asPeer());
    Reply reply =
        call(cut)
            .send("GET /files/a%20b?x=1&y=%2F", "one", "X-Other: as-sent\r\n", new byte[0])
            .reply();
    assertThat(reply.status()).isEqualTo(418);
    assertThat(reply.text()).isEqualTo("the body");
    assertThat(RawTarget.header(reply.head(), SIGNATURE).orElse("")).isEqualTo("signature-of-one");
    assertThat(reply.head().toLowerCase(Locale.ROOT)).doesNotContain("cuminvalve");
    Received received = target.received().get(0);
    assertThat(received.head()).startsWith("GET /files/a%20b?x=1&y=%2F HTTP/1.1\r\n");
    assertThat(RawTarget.header(received.head(), "Host").orElse("")).isEqualTo("files.example");
    assertThat(RawTarget.header(received.head(), "X-Other").orElse("")).isEqualTo("as-sent");
    assertThat(received.head().toLowerCase(Locale.ROOT)).doesNotContain("cuminvalve");
    long deadlineMs = target.arrivals().get(0).deadlineMs();
    assertThat(deadlineMs).isAtMost(60_000);
    assertThat(deadlineMs).isAtLeast(1);
    assertThat(cut.shows("cuminvalve_forwarded_total{outcome=\"served\"} 1.0")).isTrue();
  }

  @Test
  void bodiesPassBothWaysWhole() throws Exception {
    byte[] body = new byte[LARGE_BYTES];
    new Random(3).nextBytes(body);
    String answer = "a".repeat(LARGE_BYTES);
    RawTarget target = target((connection, id) -> signed(id, "200 OK", answer));
    RelayGateway cut = cut(reaching(target).asPeer());
    Reply reply = call(cut).post("/bookings/", "one", body).reply();
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.text()).isEqualTo(answer);
    assertThat(target.received().get(0).body()).isEqualTo(body);
    assertThat(target.arrivalsOf("one")).isEqualTo(1);
  }

  /** Guards against bodies that keep their memory at one of the two gateways. */
  @Test
  void relayedBodiesReturnTheirMemory() throws Exception {
    CountDownLatch answering = new CountDownLatch(1);
    opened.add(answering::countDown);
    RawTarget target =
        target(
            (connection, id) -> {
              answering.await();
              return signed(id, "200 OK", "a".repeat(LARGE_BYTES));
            });
    RelayGateway peer = reaching(target);
    RelayGateway cut = cut(peer.asPeer());
    final RawCall call = call(cut).post("/bookings/", "one", new byte[LARGE_BYTES]);
    StallableGateway.await(() -> target.arrivalsOf("one") == 1);
    assertThat(cut.bufferedBytes()).isAtLeast((long) LARGE_BYTES);
    assertThat(peer.bufferedBytes()).isAtLeast((long) LARGE_BYTES);
    answering.countDown();
    assertThat(call.reply().status()).isEqualTo(200);
    StallableGateway.await(() -> cut.bufferedBytes() == 0 && peer.bufferedBytes() == 0);
  }

  /**
   * Guards against answers of peers that are dropped, since the peer's refusal is not passed on.
   */
  @Test
  void bodiesOfRefusedRelayedRequestsReturnTheirMemory() throws Exception {
    RawTarget target = target((connection, id) -> RawTarget.rejection(503, id));
    RelayGateway peer = reaching(target);
    RelayGateway cut = cut(peer.asPeer());
    Reply reply = call(cut).post("/bookings/", "one", new byte[LARGE_BYTES]).reply();
    assertThat(reply.status()).isEqualTo(503);
    StallableGateway.await(() -> cut.bufferedBytes() == 0 && peer.bufferedBytes() == 0);
  }

  @Test
  void relayedBodiesReturnTheirMemoryAtTheStopLimit() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    opened.add(never::countDown);
    RawTarget target =
        target(
            (connection, id) -> {
              never.await();
              return RawTarget.success(id);
            });
    RelayGateway peer = reaching(target);
    RelayGateway cut = cut(peer.asPeer());
    RawCall call = call(cut).post("/bookings/", "one", new byte[LARGE_BYTES]);
    StallableGateway.await(() -> target.arrivalsOf("one") == 1);
    cut.endRequests();
    assertThat(call.reply().status()).isEqualTo(504);
    StallableGateway.await(() -> cut.bufferedBytes() == 0 && peer.bufferedBytes() == 0);
  }

  @Test
  void withoutPeersRequestsAreRefusedAtOnce() throws Exception {
    Reply reply = call(cut()).post("/bookings/", "one", bytes("ok")).reply();
    assertThat(reply.status()).isEqualTo(503);
    assertThat(RawTarget.header(reply.head(), "Retry-After").orElse("")).isEqualTo("0.70");
  }

  @Test
  void refusalsOfTargetsStayRefusals() throws Exception {
    RawTarget target = target((connection, id) -> RawTarget.rejection(503, id));
    RelayGateway cut = cut(reaching(target).asPeer());
    Reply reply = call(cut).post("/bookings/", "one", bytes("ok")).reply();
    assertThat(reply.status()).isEqualTo(503);
    assertThat(RawTarget.header(reply.head(), "Retry-After").isPresent()).isTrue();
    assertThat(target.arrivalsOf("one")).isAtLeast(1);
  }

  /** Guards against a second run, and against a promise that it has not run. */
  @Test
  void whatMayHaveRunAtThePeerIsNotRefused() throws Exception {
    RawTarget target = target((connection, id) -> closeConnection());
    RelayGateway cut = cut(reaching(target).asPeer(), reaching(target).asPeer());
    assertThat(call(cut).post("/bookings/", "one", bytes("ok")).reply().status()).isEqualTo(502);
    assertThat(target.arrivalsOf("one")).isEqualTo(1);
  }

  /** Guards against peers that do not count the runs at the peers before them. */
  @Test
  void attemptsAtAllPeersTogetherAreBounded() throws Exception {
    RawTarget target = target((connection, id) -> closeConnection());
    RelayGateway cut =
        cut(reaching(target).asPeer(), reaching(target).asPeer(), reaching(target).asPeer());
    assertThat(call(cut).get("/files/", "one").reply().status()).isEqualTo(502);
    assertThat(target.arrivalsOf("one")).isEqualTo(RelayGateway.MAX_ATTEMPTS);
  }

  @Test
  void idempotentRequestsGetAnotherPeerAfterLostOnes() throws Exception {
    RawTarget lost = target((connection, id) -> closeConnection());
    RawTarget target = target((connection, id) -> signed(id, "200 OK", "served"));
    RelayGateway cut =
        cut(new RelayPeer(lost.address(), RelayGateway.HERE), reaching(target).asPeer());
    for (int i = 0; i < 20; i++) {
      assertThat(call(cut).get("/files/", "read-" + i).reply().status()).isEqualTo(200);
    }
    assertThat(lost.arrivals()).isNotEmpty();
  }

  @Test
  void peersThatDoNotListenAreSkipped() throws Exception {
    RawTarget target = target((connection, id) -> signed(id, "200 OK", "served"));
    RelayGateway cut = cut(closedPort(), closedPort(), reaching(target).asPeer());
    for (int i = 0; i < 10; i++) {
      Reply reply = call(cut).post("/bookings/", "booking-" + i, bytes("ok")).reply();
      assertThat(reply.status()).isEqualTo(200);
    }
    assertThat(target.arrivals()).hasSize(10);
  }

  @Test
  void requestsOfCallersThatLeaveEndAtTheTarget() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    opened.add(never::countDown);
    RawTarget target =
        target(
            (connection, id) -> {
              never.await();
              return RawTarget.success(id);
            });
    RelayGateway peer = reaching(target);
    RelayGateway cut = cut(peer.asPeer());
    RawCall call = call(cut).get("/files/", "one");
    StallableGateway.await(() -> target.arrivalsOf("one") == 1);
    call.close();
    StallableGateway.await(
        () -> peer.shows("cuminvalve_requests_total{outcome=\"caller_gone\",route=\"files\"} 1.0"));
    StallableGateway.await(() -> cut.inFlight() == 0 && peer.inFlight() == 0);
    StallableGateway.await(() -> peer.shows("cuminvalve_relayed_total{outcome=\"abandoned\"} 1.0"));
  }

  @Test
  void peersDoNotRelayOn() throws Exception {
    RawTarget target = target((connection, id) -> signed(id, "200 OK", "served"));
    RelayGateway third = reaching(target);
    RelayGateway second = cut(third.asPeer());
    RelayGateway first = cut(second.asPeer());
    second.setPeers(first.asPeer(), third.asPeer());
    assertThat(call(first).post("/bookings/", "one", bytes("ok")).reply().status()).isEqualTo(503);
    assertThat(target.arrivals()).isEmpty();
    assertThat(first.shows("cuminvalve_forwarded_total{outcome=\"refused\"} 1.0")).isTrue();
    StallableGateway.await(() -> second.shows("cuminvalve_relayed_total{outcome=\"refused\"} 1.0"));
  }

  @Test
  void requestsWithoutTheTokenAreForbidden() throws Exception {
    RawTarget target = target((connection, id) -> signed(id, "200 OK", "served"));
    RelayGateway peer = reaching(target);
    String relayed =
        "Cuminvalve-Relay-Id: 1\r\nCuminvalve-Relay-Runs: 0\r\nCuminvalve-Relay-Max-Runs: 1\r\n"
            + "Cuminvalve-Relay-Age-Ms: 0\r\nCuminvalve-Relay-Service: files\r\n"
            + "Cuminvalve-Relay-Caller: 10.0.0.1\r\n";
    int port = Integer.parseInt(peer.asPeer().address().split(":")[1]);
    for (String token : List.of("", "Cuminvalve-Relay-Token: 00ff\r\n")) {
      RawCall call = open(new RawCall(port));
      Reply reply = call.send("GET /files/", "one", relayed + token, new byte[0]).reply();
      assertThat(reply.status()).isEqualTo(403);
    }
    assertThat(target.arrivals()).isEmpty();
  }

  /** Guards against callers that pretend to be peers, and so evade the count of their requests. */
  @Test
  void callersCannotRelay() throws Exception {
    RawTarget target = target((connection, id) -> signed(id, "200 OK", "served"));
    RelayGateway gateway = reaching(target);
    Reply reply =
        call(gateway).send("GET /files/", "one", "Cuminvalve-Relay-Id: 1\r\n", new byte[0]).reply();
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.head()).doesNotContain("Cuminvalve-Relay");
    assertThat(target.received().get(0).head()).doesNotContain("Cuminvalve-Relay");
    assertThat(gateway.shows("cuminvalve_relayed_total{outcome=\"served\"} 1.0")).isFalse();
  }

  /** Guards against an answer to one request that passes for the answer to another. */
  @Test
  void lateCopiesOfAnswersAreNotTaken() throws Exception {
    List<String> sent = new ArrayList<>();
    RawTarget[] peer = new RawTarget[1];
    peer[0] =
        target(
            (connection, id) -> {
              sent.add(servedAnswer(peer[0], id));
              return sent.get(0);
            });
    RelayGateway cut = cut(new RelayPeer(peer[0].address(), RelayGateway.HERE));
    Reply first = call(cut).post("/bookings/", "first", bytes("ok")).reply();
    assertThat(first.status()).isEqualTo(200);
    assertThat(first.text()).isEqualTo("first");
    Reply second = call(cut).post("/bookings/", "second", bytes("ok")).reply();
    assertThat(second.status()).isEqualTo(502);
    assertThat(second.text()).isEmpty();
    assertThat(cut.shows("cuminvalve_forwarded_total{outcome=\"broken\"} 1.0")).isTrue();
  }

  @Test
  void relayedRequestsInProgressAreBounded() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    opened.add(released::countDown);
    RawTarget target =
        target(
            (connection, id) -> {
              released.await();
              return RawTarget.success(id);
            });
    RelayGateway peer = reaching(target);
    RelayGateway cut = cut(peer.asPeer());
    List<RawCall> calls = new ArrayList<>();
    for (int i = 0; i < RelayHandler.MAX_IN_PROGRESS; i++) {
      calls.add(call(cut).get("/files/", "held-" + i));
    }
    StallableGateway.await(() -> target.arrivals().size() == RelayHandler.MAX_IN_PROGRESS);
    assertThat(call(cut).get("/files/", "further").reply().status()).isEqualTo(503);
    assertThat(target.arrivalsOf("further")).isEqualTo(0);
    RawCall own = call(peer).get("/files/", "own");
    released.countDown();
    assertWithMessage("own caller").that(own.reply().status()).isEqualTo(200);
    for (RawCall held : calls) {
      assertThat(held.reply().status()).isEqualTo(200);
    }
  }

  private static String closeConnection() throws InterruptedException {
    throw new InterruptedException("the target ends its connection");
  }

  private static String signed(String id, String status, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\n"
        + SIGNATURE
        + ": signature-of-"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns the answer of a peer that has served the request that it received last. */
  private static String servedAnswer(RawTarget peer, String id) {
    List<Received> received = peer.received();
    String head = received.get(received.size() - 1).head();
    String relayId = RawTarget.header(head, RelayHeaders.ID).orElseThrow();
    String fields = RelayHeaders.ID + ": " + relayId + "\r\n" + RelayHeaders.OUTCOME + ": served";
    return signed(id, "200 OK\r\n" + fields, id);
  }

  private RawTarget target(RawTarget.Script script) throws IOException {
    return open(new RawTarget(script));
  }

  private RelayGateway reaching(RawTarget target) {
    return open(RelayGateway.reaching(target));
  }

  private RelayGateway cut(RelayPeer... peers) {
    return open(RelayGateway.cut(peers));
  }

  private RawCall call(RelayGateway gateway) throws IOException {
    return open(new RawCall(gateway.callerPort()));
  }

  private <T extends AutoCloseable> T open(T resource) {
    opened.add(resource);
    return resource;
  }

  private static RelayPeer closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new RelayPeer("127.0.0.1:" + socket.getLocalPort(), RelayGateway.HERE);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
