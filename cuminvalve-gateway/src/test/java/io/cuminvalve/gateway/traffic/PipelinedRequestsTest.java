package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.traffic.StallableGateway.Call;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that callers send before earlier ones of their connection are answered.
 *
 * <p>Each response has the id of its request as its body, so that a response in another's place
 * shows. The time limit only ends a build that would otherwise hang.
 */
@Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PipelinedRequestsTest {

  private static final int READ_AHEAD = 4;
  private static final String GAUGE = "cuminvalve_read_ahead_requests_in_flight";
  private static final int LARGE_BYTES = 300_000;

  private final Map<String, CountDownLatch> held = new ConcurrentHashMap<>();
  private RawTarget target;
  private StallableGateway gateway;

  @BeforeEach
  void setUp() throws Exception {
    target = new RawTarget(this::respond);
    gateway = new StallableGateway(target, READ_AHEAD).configure();
  }

  @AfterEach
  void tearDown() throws Exception {
    held.values().forEach(CountDownLatch::countDown);
    gateway.close();
    target.close();
  }

  /** Ids that begin with "slow" wait; those with "large" get a large body. */
  private String respond(int connection, String id) throws InterruptedException {
    if (id.startsWith("slow")) {
      latchOf(id).await();
    }
    String body = id.contains("large") ? id + "x".repeat(LARGE_BYTES - id.length()) : id;
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private CountDownLatch latchOf(String id) {
    return held.computeIfAbsent(id, any -> new CountDownLatch(1));
  }

  private void release(String id) {
    latchOf(id).countDown();
  }

  private static String get(String id) {
    return "GET /files/ HTTP/1.1\r\nHost: files\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: 60000\r\n\r\n";
  }

  private static String post(String id) {
    return "POST /files/ HTTP/1.1\r\nHost: files\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: 60000\r\nContent-Length: 2\r\n\r\nok";
  }

  private void awaitArrival(String id) {
    StallableGateway.await(() -> target.arrivalsOf(id) == 1);
  }

  /** Waits until the gateway has read all that was sent on a connection behind a slow request. */
  private Call slowFront() throws Exception {
    final Call call = gateway.connect().write(get("slow-front"));
    awaitArrival("slow-front");
    return call;
  }

  @Test
  void slowRequestDelaysNoLaterOne() throws Exception {
    final Call call = slowFront().write(get("second") + get("third"));
    awaitArrival("second");
    awaitArrival("third");
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("second");
    assertThat(call.body()).isEqualTo("third");
    gateway.drainAndStop();
    assertThat(gateway.metric(GAUGE)).isEqualTo(0);
    assertThat(gateway.metric("cuminvalve_read_ahead_requests")).isEqualTo(2);
  }

  @Test
  void requestsThatCameInOnePieceAreHandledAtOnce() throws Exception {
    final Call call = gateway.connect().write(get("slow-a") + get("slow-b") + get("slow-c"));
    awaitArrival("slow-a");
    awaitArrival("slow-b");
    awaitArrival("slow-c");
    release("slow-c");
    release("slow-b");
    release("slow-a");
    assertThat(call.body()).isEqualTo("slow-a");
    assertThat(call.body()).isEqualTo("slow-b");
    assertThat(call.body()).isEqualTo("slow-c");
  }

  @Test
  void withoutTheSettingLaterRequestsWait() throws Exception {
    try (StallableGateway plain = new StallableGateway(target).configure()) {
      Call call = plain.connect().write(get("slow-front") + get("second"));
      awaitArrival("slow-front");
      release("slow-front");
      assertThat(call.body()).isEqualTo("slow-front");
      assertThat(call.body()).isEqualTo("second");
      assertThat(plain.metric("cuminvalve_read_ahead_requests")).isEqualTo(0);
    }
  }

  @Test
  void noMoreThanTheBoundAreReadAhead() throws Exception {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 3 * READ_AHEAD; i++) {
      all.append(get("slow-" + i));
    }
    final Call call = gateway.connect().write(all.toString());
    for (int i = 0; i <= READ_AHEAD; i++) {
      awaitArrival("slow-" + i);
    }
    assertThat(gateway.inFlight()).isEqualTo(1 + READ_AHEAD);
    assertThat(gateway.metric(GAUGE)).isEqualTo(READ_AHEAD);
    for (int i = 0; i < 3 * READ_AHEAD; i++) {
      assertThat(gateway.inFlight()).isAtMost(1 + READ_AHEAD);
      release("slow-" + i);
      assertThat(call.body()).isEqualTo("slow-" + i);
    }
  }

  @Test
  void nothingIsReadAheadBehindUnsafeRequests() throws Exception {
    final Call call = slowFront().write(get("second") + post("slow-post") + get("behind"));
    awaitArrival("second");
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("second");
    awaitArrival("slow-post");
    assertThat(target.arrivalsOf("behind")).isEqualTo(0);
    assertThat(gateway.inFlight()).isEqualTo(1);
    release("slow-post");
    assertThat(call.body()).isEqualTo("slow-post");
    assertThat(call.body()).isEqualTo("behind");
    assertThat(ids()).containsExactly("slow-front", "second", "slow-post", "behind").inOrder();
  }

  @Test
  void requestsBehindBodiesAreReadAheadAgain() throws Exception {
    final Call call = gateway.connect().write(post("post") + get("slow-a") + get("b"));
    awaitArrival("slow-a");
    awaitArrival("b");
    release("slow-a");
    assertThat(call.body()).isEqualTo("post");
    assertThat(call.body()).isEqualTo("slow-a");
    assertThat(call.body()).isEqualTo("b");
  }

  @Test
  void callerThatLeavesEndsAllItsRequests() throws Exception {
    final Call call = slowFront().write(get("slow-a") + get("slow-b"));
    awaitArrival("slow-a");
    awaitArrival("slow-b");
    call.close();
    StallableGateway.await(() -> gateway.inFlight() == 0 && gateway.metric(GAUGE) == 0);
    for (String id : List.of("slow-front", "slow-a", "slow-b")) {
      assertThat(gateway.hasLogged("event=caller_gone id=" + id)).isTrue();
    }
  }

  @Test
  void malformedRequestEndsTheConnectionAfterEarlierResponses() throws Exception {
    final Call call = slowFront().write(get("slow-a") + "GET /files/ HTTP/1.1\nHost files\r\n\r\n");
    call.write(get("behind"));
    awaitArrival("slow-a");
    release("slow-a");
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("slow-a");
    assertThat(call.status()).isEqualTo(400);
    assertThat(call.status()).isEqualTo(0);
    assertThat(target.arrivalsOf("behind")).isEqualTo(0);
  }

  /** A head that the strict grammar takes and the server does not: there is no host. */
  @Test
  void requestThatTheServerRejectsEndsTheConnection() throws Exception {
    final Call call =
        slowFront().write(get("a") + "GET /files/ HTTP/1.1\r\nX: y\r\n\r\n" + get("b"));
    awaitArrival("a");
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("a");
    assertThat(call.status()).isEqualTo(400);
    assertThat(call.status()).isEqualTo(0);
    StallableGateway.await(() -> gateway.inFlight() == 0 && gateway.metric(GAUGE) == 0);
  }

  @Test
  void requestBehindOneThatClosesTheConnectionIsNotRead() throws Exception {
    String closing = get("closing").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    final Call call = slowFront().write(closing + get("behind"));
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("closing");
    assertThat(call.status()).isEqualTo(0);
    assertThat(target.arrivalsOf("behind")).isEqualTo(0);
  }

  @Test
  void headMayBeSplitAtEveryByte() throws Exception {
    String second = get("second");
    for (int cut = 1; cut < second.length(); cut++) {
      Call call = gateway.connect();
      call.write(get("slow-" + cut) + second.substring(0, cut));
      awaitArrival("slow-" + cut);
      call.write(second.substring(cut));
      long wanted = cut;
      StallableGateway.await(() -> target.arrivalsOf("second") == wanted);
      release("slow-" + cut);
      assertThat(call.body()).isEqualTo("slow-" + cut);
      assertThat(call.body()).isEqualTo("second");
      call.close();
    }
  }

  @Test
  void largeResponsesKeepTheirOrderWithSlowReaders() throws Exception {
    final Call call = slowFront().write(get("large-a") + get("b") + get("large-c"));
    awaitArrival("large-a");
    awaitArrival("b");
    awaitArrival("large-c");
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    String first = call.body();
    assertThat(first).startsWith("large-a");
    assertThat(first).hasLength(LARGE_BYTES);
    assertThat(call.body()).isEqualTo("b");
    assertThat(call.body()).startsWith("large-c");
    StallableGateway.await(() -> gateway.inFlight() == 0);
    StallableGateway.await(() -> gateway.bufferedBytes() == 0);
  }

  /** A caller that sends without reading gets no more than the bound into the memory. */
  @Test
  void callerThatDoesNotReadStopsTheReading() throws Exception {
    StringBuilder all = new StringBuilder();
    int count = 60;
    for (int i = 0; i < count; i++) {
      all.append(get("large-" + i));
    }
    final Call call = gateway.connect().write(all.toString());
    for (int i = 0; i <= READ_AHEAD; i++) {
      awaitArrival("large-" + i);
    }
    assertThat(gateway.inFlight()).isAtMost(1 + READ_AHEAD);
    assertThat(gateway.bufferedBytes()).isAtMost(StallableGateway.BUDGET_BYTES);
    for (int i = 0; i < count; i++) {
      assertThat(gateway.inFlight()).isAtMost(1 + READ_AHEAD);
      assertThat(call.body()).startsWith("large-" + i + "x");
    }
    StallableGateway.await(() -> gateway.inFlight() == 0);
    StallableGateway.await(() -> gateway.bufferedBytes() == 0);
  }

  @Test
  void stopAnswersRequestsThatWereReadAhead() throws Exception {
    final Call call = slowFront().write(get("slow-a") + get("slow-b"));
    awaitArrival("slow-a");
    awaitArrival("slow-b");
    gateway.beginStop();
    gateway.closeIdleConnections();
    release("slow-front");
    release("slow-b");
    assertThat(call.body()).isEqualTo("slow-front");
    gateway.closeIdleConnections();
    release("slow-a");
    assertThat(call.body()).isEqualTo("slow-a");
    assertThat(call.body()).isEqualTo("slow-b");
    assertThat(call.status()).isEqualTo(0);
  }

  @Test
  void lastStepOfStopsAnswersAllRequestsThatWereReadAhead() throws Exception {
    final Call call = slowFront().write(get("slow-a") + get("slow-b"));
    awaitArrival("slow-a");
    awaitArrival("slow-b");
    gateway.endRequests();
    assertThat(call.status()).isEqualTo(504);
    assertThat(call.status()).isEqualTo(504);
    assertThat(call.status()).isEqualTo(504);
    StallableGateway.await(() -> gateway.inFlight() == 0);
  }

  @Test
  void timeInTheGatewayCountsForRequestsThatWait() throws Exception {
    final Call call = slowFront();
    gateway.blockCallerThreads();
    call.write(get("second"));
    gateway.advance(2_000);
    gateway.unblockCallerThreads();
    awaitArrival("second");
    long deadlineMs =
        target.arrivals().stream()
            .filter(each -> each.id().equals("second"))
            .findFirst()
            .orElseThrow()
            .deadlineMs();
    assertThat(deadlineMs).isAtMost(58_000);
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    assertThat(call.body()).isEqualTo("second");
  }

  /** Many requests of many connections, in pieces of any size: each response in its place. */
  @Test
  void noResponseTakesThePlaceOfAnother() throws Exception {
    for (long seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      List<String> ids = new ArrayList<>();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 60; i++) {
        String id = (random.nextInt(20) == 0 ? "large-" : "s") + seed + "-" + i;
        ids.add(id);
        all.append(random.nextInt(8) == 0 ? post(id) : get(id));
      }
      try (Call call = gateway.connect()) {
        Thread writer = new Thread(() -> writeInPieces(call, all.toString(), random));
        writer.start();
        for (String id : ids) {
          String body = call.body();
          assertThat(id.startsWith("large-") ? body.substring(0, id.length()) : body).isEqualTo(id);
        }
        writer.join();
      }
    }
    StallableGateway.await(() -> gateway.inFlight() == 0 && gateway.metric(GAUGE) == 0);
    assertThat(gateway.metric("cuminvalve_read_ahead_requests")).isGreaterThan(0);
  }

  private static void writeInPieces(Call call, String text, Random random) {
    try {
      for (int at = 0; at < text.length(); ) {
        int end = Math.min(text.length(), at + 1 + random.nextInt(700));
        call.write(text.substring(at, end));
        at = end;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private List<String> ids() {
    return target.received().stream()
        .map(each -> RawTarget.header(each.head(), "X-Attempt-Id").orElse(""))
        .toList();
  }

  /** Bytes of a body must not be taken for requests. */
  @Test
  void bodyThatLooksLikeOneMoreRequestIsNone() throws Exception {
    String inner = get("inner");
    int length = inner.getBytes(StandardCharsets.ISO_8859_1).length;
    String outer =
        "POST /files/ HTTP/1.1\r\nHost: files\r\nX-Attempt-Id: slow-outer\r\nX-Deadline-Ms: 60000"
            + "\r\nContent-Length: "
            + length
            + "\r\n\r\n"
            + inner;
    final Call call = slowFront().write(outer + get("behind"));
    release("slow-front");
    assertThat(call.body()).isEqualTo("slow-front");
    awaitArrival("slow-outer");
    release("slow-outer");
    assertThat(call.body()).isEqualTo("slow-outer");
    assertThat(call.body()).isEqualTo("behind");
    assertThat(target.arrivalsOf("inner")).isEqualTo(0);
  }
}
