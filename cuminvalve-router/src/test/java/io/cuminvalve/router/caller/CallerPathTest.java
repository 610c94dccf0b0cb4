package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.request.RetryPolicy;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.router.caller.RawCaller.Answer;
import io.cuminvalve.router.target.TargetHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Each way in which a request can fail between caller and target. */
class CallerPathTest {

  private static final long BROKEN_AFTER_S = 30;

  @Test
  void relaysTheWholeAnswerAndTheVerdict() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address(), 1);
        RawCaller caller = path.caller()) {
      Answer first = caller.get("/claims/a").answer();
      Answer second = caller.get("/claims/b?full=1").answer();

      assertThat(first.status()).isEqualTo(200);
      assertThat(first.body()).isEqualTo("answer to GET /claims/a");
      assertThat(first.verdict()).isEqualTo("RAN");
      assertThat(second.body()).isEqualTo("answer to GET /claims/b?full=1");
      assertThat(target.connections()).isEqualTo(1);
    }
  }

  @Test
  void removesForgedHeadersAndSetsItsOwn() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      Answer answer =
          caller
              .get(
                  "/claims/a",
                  "Cuminvalve-Token: 999999",
                  "Cuminvalve-Expiry: 999999",
                  "cuminvalve-verdict: NOT_RUN",
                  "Cuminvalve-Request-Id: forged",
                  "Cuminvalve-Timeout-Ms: 700",
                  "X-Kept: yes",
                  "Connection: X-Named",
                  "X-Named: dropped")
              .answer();

      String head = target.nextHead();
      assertThat(Http.header(head, TargetHeaders.TOKEN)).hasValue(PathFixture.TOKEN);
      assertThat(Http.header(head, TargetHeaders.EXPIRY)).isEmpty();
      assertThat(Http.header(head, CallerHeaders.VERDICT)).isEmpty();
      assertThat(Http.header(head, "X-Named")).isEmpty();
      assertThat(Http.header(head, "X-Kept")).hasValue("yes");
      assertThat(Http.header(head, TargetHeaders.TIMEOUT_MS)).hasValue("700");
      assertThat(Http.header(head, TargetHeaders.REQUEST_ID))
          .hasValue(answer.header(CallerHeaders.REQUEST_ID));
      assertThat(answer.header(CallerHeaders.REQUEST_ID)).isNotEqualTo("forged");
    }
  }

  @Test
  void dropsVerdictsAndSetCookieMemoryOfTargets() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  while (connection.readHead() != null) {
                    connection.write(
                        "HTTP/1.1 302 Found\r\nLocation: /claims/else\r\nSet-Cookie: a=b\r\n"
                            + "Cuminvalve-Verdict: NOT_RUN\r\nContent-Length: 0\r\n\r\n");
                  }
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      Answer first = caller.get("/claims/a").answer();
      caller.get("/claims/a").answer();

      assertThat(first.status()).isEqualTo(302);
      assertThat(first.verdict()).isEqualTo("RAN");
      assertThat(target.heads()).hasSize(2);
      assertThat(Http.header(target.heads().get(1), "Cookie")).isEmpty();
    }
  }

  @Test
  void cutAnswerOfKnownLengthBreaksTheCallersConnection() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      String seen = caller.get("/claims/a").readToTheEnd();

      assertThat(seen).doesNotContain("NOT_RUN");
      assertThat(bodyOf(seen).length()).isLessThan(100);
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.BROKEN);
    }
  }

  @Test
  void answerCutAfterItsHeadIsNotRelayed() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      Answer answer = caller.post("/claims/a/payouts", "{}").answer();

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.verdict()).isEqualTo("MAY_HAVE_RUN");
      assertThat(answer.body()).contains("\"code\":\"ANSWER_CUT\"");
    }
  }

  @Test
  void cutChunkedAnswerHasNoLastChunk() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.write(
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      String seen = caller.get("/claims/a").readToTheEnd();

      assertThat(seen).doesNotContain("0\r\n\r\n");
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.BROKEN);
    }
  }

  @Test
  void answerWithoutRecognisableEndIsNotRelayed() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.write("HTTP/1.1 200 OK\r\n\r\nwhole or cut?");
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      Answer answer = caller.post("/claims/a/payouts", "{}").answer();

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.verdict()).isEqualTo("MAY_HAVE_RUN");
    }
  }

  @Test
  void lateAnswerReachesNobody() throws Exception {
    CountDownLatch answerNow = new CountDownLatch(1);
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String head = connection.readHead();
                  while (head != null) {
                    if (head.startsWith("GET /claims/late")) {
                      await(answerNow);
                    }
                    answer(connection, head);
                    head = connection.readHead();
                  }
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      caller.get("/claims/late");
      target.nextHead();
      path.timers.runAll();
      Answer refused = caller.answer();
      answerNow.countDown();
      Answer next = caller.get("/claims/next").answer();

      assertThat(refused.status()).isEqualTo(504);
      assertThat(refused.verdict()).isEqualTo("MAY_HAVE_RUN");
      assertThat(path.cancelled).containsExactly(refused.header(CallerHeaders.REQUEST_ID));
      assertThat(next.body()).isEqualTo("answer to GET /claims/next");
      assertThat(target.connections()).isEqualTo(2);
    }
  }

  @Test
  void requestIsNotResentWhenThePooledConnectionTurnsOutClosed() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  answer(connection, connection.readHead());
                  // The next request is taken by a target that is gone before it reads it all.
                  connection.readHead();
                });
        PathFixture path = new PathFixture(target.address(), 1);
        RawCaller caller = path.caller()) {
      caller.get("/claims/a").answer();
      Answer answer = caller.post("/claims/a/payouts", "{\"amount\":1}").answer();

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.verdict()).isEqualTo("MAY_HAVE_RUN");
      assertThat(target.heads()).hasSize(2);
      assertThat(target.connections()).isEqualTo(1);
    }
  }

  @Test
  void idempotentRequestIsTriedAgainWhenTheTargetCloses() throws Exception {
    AtomicInteger served = new AtomicInteger();
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String head = connection.readHead();
                  if (served.getAndIncrement() > 0) {
                    answer(connection, head);
                  }
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      path.retryDecider = (failed, remainingMs, now) -> failed == 1 ? 5 : RetryPolicy.NO_RETRY;
      caller.get("/claims/a");
      target.nextHead();
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.BROKEN);
      path.timers.endBackoff();

      assertThat(caller.answer().body()).isEqualTo("answer to GET /claims/a");
    }
  }

  @Test
  void refusedConnectionIsNotRun() throws Exception {
    try (PathFixture path = new PathFixture(addressWithoutListener());
        RawCaller caller = path.caller()) {
      Answer answer = caller.post("/claims/a/payouts", "{}").answer();

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.verdict()).isEqualTo("NOT_RUN");
      assertThat(answer.header("Retry-After")).isEqualTo("1");
      assertThat(answer.body()).contains("\"code\":\"CONNECT_FAILED\"");
      assertThat(path.target.observation().refused()).isTrue();
    }
  }

  @Test
  void nothingIsWrittenOnceTheGrantIsGone() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      path.grantable = false;
      Answer answer = caller.post("/claims/a/payouts", "{}").answer();

      assertThat(answer.verdict()).isEqualTo("NOT_RUN");
      assertThat(target.heads()).isEmpty();
    }
  }

  @Test
  void refusalOfTheTargetIsNotRun() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String head = connection.readHead();
                  while (head != null) {
                    connection.readBody(2);
                    connection.write(
                        "HTTP/1.1 503 Busy\r\nCuminvalve-Refusal: OVERLOADED\r\n"
                            + "Content-Length: 4\r\n\r\nbusy");
                    head = connection.readHead();
                  }
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      Answer answer = caller.post("/claims/a/payouts", "{}", "Idempotency-Key: pay-1").answer();

      assertThat(answer.verdict()).isEqualTo("NOT_RUN");
      assertThat(answer.body()).contains("\"code\":\"TARGET_OVERLOADED\"");
      assertThat(path.settled.poll(BROKEN_AFTER_S, TimeUnit.SECONDS).name()).isEqualTo("NOT_RUN");
    }
  }

  @Test
  void refusalBeforeTheUploadEndedIsAnsweredAtOnce() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.write(
                      "HTTP/1.1 503 Busy\r\nCuminvalve-Refusal: DRAINING\r\n"
                          + "Content-Length: 0\r\n\r\n");
                  connection.readToTheEnd();
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      caller.send(
          "POST /claims/a/photos HTTP/1.1\r\nHost: r\r\nContent-Length: 1000000\r\n\r\nsome");
      Answer answer = caller.answer();

      assertThat(answer.verdict()).isEqualTo("NOT_RUN");
      assertThat(answer.header("Connection")).isEqualTo("close");
    }
  }

  @Test
  void callerThatGoesAwayCancelsTheRequestAtTheTarget() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  connection.readHead();
                  connection.readToTheEnd();
                  closed.countDown();
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      caller.get("/claims/a");
      String id = Http.header(target.nextHead(), TargetHeaders.REQUEST_ID).orElseThrow();
      caller.close();

      assertThat(closed.await(BROKEN_AFTER_S, TimeUnit.SECONDS)).isTrue();
      assertThat(path.cancelled.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(id);
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.CANCELLED);
    }
  }

  @Test
  void callersMayUseHttp2WithoutTls() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address())) {
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
      HttpResponse<String> answer =
          client.send(
              HttpRequest.newBuilder(path.uri("/claims/a")).build(),
              HttpResponse.BodyHandlers.ofString());

      assertThat(answer.version()).isEqualTo(HttpClient.Version.HTTP_2);
      assertThat(answer.body()).isEqualTo("answer to GET /claims/a");
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      caller.get("/claims/a").get("/claims/b").get("/claims/c");

      assertThat(caller.answer().body()).endsWith("/claims/a");
      assertThat(caller.answer().body()).endsWith("/claims/b");
      assertThat(caller.answer().body()).endsWith("/claims/c");
    }
  }

  @Test
  void malformedAndUnknownRequestsAreRefused() throws Exception {
    try (FakeTarget target = new FakeTarget(CallerPathTest::answerEach);
        PathFixture path = new PathFixture(target.address());
        RawCaller caller = path.caller()) {
      assertThat(caller.get("/unknown").answer().status()).isEqualTo(404);
      assertThat(caller.get("/claims/a", "Cuminvalve-Timeout-Ms: soon").answer().status())
          .isEqualTo(400);
      assertThat(caller.get("/claims/a", "Idempotency-Key: no spaces").answer().status())
          .isEqualTo(400);
      assertThat(caller.get("/claims/a", "X-Large: " + "x".repeat(8192)).answer().status())
          .isEqualTo(431);
      assertThat(target.heads()).isEmpty();
    }
  }

  @Test
  void stoppingRouterFinishesWhatIsInFlightAndTakesNothingNew() throws Exception {
    CountDownLatch answerNow = new CountDownLatch(1);
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String head = connection.readHead();
                  await(answerNow);
                  answer(connection, head);
                });
        PathFixture path = new PathFixture(target.address());
        RawCaller first = path.caller();
        RawCaller second = path.caller()) {
      first.get("/claims/a");
      target.nextHead();
      path.handler.beginStop();
      Answer refused = second.get("/claims/b").answer();
      answerNow.countDown();

      assertThat(refused.verdict()).isEqualTo("NOT_RUN");
      assertThat(refused.body()).contains("\"code\":\"ROUTER_STOPPING\"");
      assertThat(first.answer().body()).isEqualTo("answer to GET /claims/a");
    }
  }

  static void answerEach(FakeTarget.Connection connection) throws IOException {
    String head = connection.readHead();
    while (head != null) {
      answer(connection, head);
      head = connection.readHead();
    }
  }

  private static void answer(FakeTarget.Connection connection, String head) throws IOException {
    String firstLine = head.substring(0, head.indexOf(" HTTP"));
    connection.answer("answer to " + firstLine);
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      if (!latch.await(BROKEN_AFTER_S, TimeUnit.SECONDS)) {
        throw new IOException("the test did not go on");
      }
    } catch (InterruptedException interrupt) {
      throw new IOException(interrupt);
    }
  }

  private static String bodyOf(String answer) {
    int end = answer.indexOf("\r\n\r\n");
    return end < 0 ? "" : answer.substring(end + 4);
  }

  private static InetSocketAddress addressWithoutListener() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }
}
