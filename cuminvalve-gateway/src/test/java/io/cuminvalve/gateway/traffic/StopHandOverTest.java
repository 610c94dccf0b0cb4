package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.stop.StopPolicy;
import io.cuminvalve.gateway.traffic.RawCall.Reply;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that a stopping gateway may not send itself any more, sent by a peer. All are servers on
 * real sockets, with virtual clocks.
 *
 * <p>The time limit only ends a build that would otherwise hang.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StopHandOverTest {

  private static final byte[] BODY = "ok".getBytes(StandardCharsets.ISO_8859_1);
  private static final long WORK_END_MS =
      new StopPolicy(RelayGateway.STOP_NOTICE_MS, RelayGateway.STOP_LIMIT_MS).workEndMs();

  private final List<AutoCloseable> opened = new ArrayList<>();

  @AfterEach
  void tearDown() throws Exception {
    for (int i = opened.size() - 1; i >= 0; i--) {
      opened.get(i).close();
    }
  }

  @Test
  void requestsThatMayOutlastTheStopAreServedThroughPeersOnce() throws Exception {
    RawTarget own = target();
    RawTarget target = target();
    RelayGateway stopping = open(RelayGateway.reaching(own));
    stopping.setPeers(open(RelayGateway.reaching(target)).asPeer());
    stopLate(stopping);
    Reply reply = call(stopping).post("/quick/", "one", BODY).reply();
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.head().toLowerCase(Locale.ROOT)).contains("connection: close");
    assertThat(own.arrivals()).isEmpty();
    assertThat(target.arrivalsOf("one")).isEqualTo(1);
  }

  /** Guards against targets that are at work when this process has to end the request. */
  @Test
  void targetsAreToldToEndTheirWorkBeforeTheStop() throws Exception {
    RawTarget target = target();
    RelayGateway stopping = open(RelayGateway.reaching(target()));
    stopping.setPeers(open(RelayGateway.reaching(target)).asPeer());
    stopLate(stopping);
    assertThat(call(stopping).post("/quick/", "one", BODY).reply().status()).isEqualTo(200);
    long toldMs = target.arrivals().get(0).deadlineMs();
    assertThat(toldMs).isAtMost(WORK_END_MS - RelayGateway.STOP_NOTICE_MS);
    assertThat(toldMs).isAtLeast(RelayGateway.QUICK_OBJECTIVE_MS);
  }

  /** Guards against the same for requests that come while callers are still directed here. */
  @Test
  void targetsOfRequestsBeforeTheNoticeAreToldToEndTheirWorkToo() throws Exception {
    RawTarget target = target();
    RelayGateway stopping = open(RelayGateway.reaching(target));
    stopping.beginStop();
    assertThat(call(stopping).post("/quick/", "one", BODY).reply().status()).isEqualTo(200);
    assertThat(target.arrivals().get(0).deadlineMs()).isAtMost(WORK_END_MS);
  }

  @Test
  void withoutPeersLateRequestsAreRefusedUnsent() throws Exception {
    RawTarget own = target();
    RelayGateway stopping = open(RelayGateway.reaching(own));
    stopLate(stopping);
    Reply reply = call(stopping).post("/quick/", "one", BODY).reply();
    assertThat(reply.status()).isEqualTo(503);
    assertThat(reply.head().toLowerCase(Locale.ROOT)).contains("connection: close");
    assertThat(own.arrivals()).isEmpty();
  }

  @Test
  void requestsWithoutTimeForTheirObjectiveAreRefusedUnsent() throws Exception {
    RawTarget target = target();
    RelayGateway stopping = open(RelayGateway.reaching(target));
    stopping.setPeers(open(RelayGateway.reaching(target)).asPeer());
    stopping.beginStop();
    stopping.advance(WORK_END_MS - RelayGateway.QUICK_OBJECTIVE_MS + 1);
    assertThat(call(stopping).post("/quick/", "one", BODY).reply().status()).isEqualTo(503);
    assertThat(target.arrivals()).isEmpty();
  }

  @Test
  void peersThatStopThemselvesPassRequestsOnToNobody() throws Exception {
    RawTarget target = target();
    RelayGateway stoppingPeer = open(RelayGateway.reaching(target));
    RelayGateway ready = open(RelayGateway.reaching(target));
    RelayGateway stopping = open(RelayGateway.reaching(target()));
    stopping.setPeers(stoppingPeer.asPeer(), ready.asPeer());
    stopLate(stoppingPeer);
    assertThat(stoppingPeer.asPeer().address()).isEmpty();
    stopLate(stopping);
    for (int i = 0; i < 10; i++) {
      Reply reply = call(stopping).post("/quick/", "order-" + i, BODY).reply();
      assertThat(reply.status()).isEqualTo(200);
      assertThat(target.arrivalsOf("order-" + i)).isEqualTo(1);
    }
  }

  @Test
  void requestsAreRefusedIfNoPeerIsReady() throws Exception {
    RawTarget target = target();
    RelayGateway stoppingPeer = open(RelayGateway.reaching(target));
    RelayGateway stopping = open(RelayGateway.reaching(target));
    stopping.setPeers(stoppingPeer.asPeer());
    stopLate(stoppingPeer);
    stopLate(stopping);
    assertThat(call(stopping).post("/quick/", "one", BODY).reply().status()).isEqualTo(503);
    assertThat(target.arrivals()).isEmpty();
  }

  @Test
  void peersThatStopWhileTheyRelayStillAnswer() throws Exception {
    CountDownLatch answering = new CountDownLatch(1);
    opened.add(answering::countDown);
    RawTarget target =
        open(
            new RawTarget(
                (connection, id) -> {
                  answering.await();
                  return RawTarget.success(id);
                }));
    RelayGateway peer = open(RelayGateway.reaching(target));
    RelayGateway stopping = open(RelayGateway.reaching(target()));
    stopping.setPeers(peer.asPeer());
    stopLate(stopping);
    final RawCall call = call(stopping).post("/quick/", "one", BODY);
    StallableGateway.await(() -> target.arrivalsOf("one") == 1);
    stopLate(peer);
    answering.countDown();
    assertThat(call.reply().status()).isEqualTo(200);
    assertThat(target.arrivalsOf("one")).isEqualTo(1);
  }

  @Test
  void uploadsThatAreReadOnlyLateAreHandedOver() throws Exception {
    RawTarget own = target();
    RawTarget target = target();
    RelayGateway stopping = open(RelayGateway.reaching(own));
    stopping.setPeers(open(RelayGateway.reaching(target)).asPeer());
    stopping.beginStop();
    RawCall call =
        call(stopping).send("POST /quick/", "one", "Content-Length: 4\r\n", new byte[] {'a', 'b'});
    StallableGateway.await(() -> stopping.inFlight() == 1);
    stopping.advance(RelayGateway.STOP_NOTICE_MS);
    call.write(new byte[] {'c', 'd'});
    assertThat(call.reply().status()).isEqualTo(200);
    assertThat(own.arrivals()).isEmpty();
    assertThat(target.received().get(0).body()).isEqualTo(new byte[] {'a', 'b', 'c', 'd'});
  }

  private static void stopLate(RelayGateway gateway) {
    gateway.beginStop();
    gateway.advance(RelayGateway.STOP_NOTICE_MS);
  }

  private RawTarget target() throws IOException {
    return open(new RawTarget((connection, id) -> RawTarget.success(id)));
  }

  private RawCall call(RelayGateway gateway) throws IOException {
    return open(new RawCall(gateway.callerPort()));
  }

  private <T extends AutoCloseable> T open(T resource) {
    opened.add(resource);
    return resource;
  }
}
