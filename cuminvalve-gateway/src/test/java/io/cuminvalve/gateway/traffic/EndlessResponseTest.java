package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Targets that send bytes without end are cut off early, and their callers are told at once. */
@Timeout(value = 10, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndlessResponseTest {

  private static final int BAD_GATEWAY = 502;
  private static final int CALLERS = 6;
  private static final int ROUNDS = 5;

  /** What the system's buffers of one connection may take beside what the gateway reads. */
  private static final long SYSTEM_BUFFER_BYTES = 16L * 1024 * 1024;

  /** Guards against buffering a body of chunks that never ends. */
  @Test
  void bodiesOfChunksWithoutEndAreCutOff() throws Exception {
    String chunk = "2000\r\n" + "x".repeat(0x2000) + "\r\n";
    assertCutOff(id -> success(id, "Transfer-Encoding: chunked\r\n"), chunk);
  }

  /** Guards against memory for each of many small chunks. */
  @Test
  void bodiesOfTinyChunksWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> success(id, "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n");
  }

  /** Guards against reading a body whose declared length cannot be buffered. */
  @Test
  void bodiesOfHugeLengthAreCutOff() throws Exception {
    assertCutOff(id -> success(id, "Content-Length: 9000000000\r\n"), "x".repeat(8_192));
  }

  /** Guards against buffering a body that lasts until its connection ends. */
  @Test
  void bodiesUntilTheConnectionEndsAreCutOff() throws Exception {
    assertCutOff(id -> success(id, ""), "x".repeat(8_192));
  }

  /** Guards against trailer fields without end. */
  @Test
  void trailersWithoutEndAreCutOff() throws Exception {
    assertCutOff(
        id -> success(id, "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n", "A: b\r\n");
  }

  /** Guards against a header field that never ends. */
  @Test
  void fieldsWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(8_192));
  }

  /** Guards against header fields without end. */
  @Test
  void headsWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "HTTP/1.1 200 OK\r\n", "A: b\r\n");
  }

  /** Guards against garbage before a status line. */
  @Test
  void garbageWithoutEndIsCutOff() throws Exception {
    assertCutOff(id -> "", "garbage ");
  }

  /** Guards against empty lines before a status line. */
  @Test
  void emptyLinesWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "", "\r\n");
  }

  /** Guards against a chunk whose size line never ends. */
  @Test
  void sizeLinesWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> success(id, "Transfer-Encoding: chunked\r\n") + "1;", "x".repeat(8_192));
  }

  /** Guards against interim responses without end. */
  @Test
  void interimResponsesWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  /** Guards against "continue" responses without end. */
  @Test
  void continueResponsesWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "", "HTTP/1.1 100 Continue\r\n\r\n");
  }

  /** Guards against early hints without end. */
  @Test
  void earlyHintsWithoutEndAreCutOff() throws Exception {
    assertCutOff(id -> "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
  }

  /** Guards against callers of good targets who pay for the faulty ones. */
  @Test
  void requestsAreServedByGoodTargetsBesideFaultyOnes() throws Exception {
    String chunk = "2000\r\n" + "x".repeat(0x2000) + "\r\n";
    try (EndlessTarget chunks =
            new EndlessTarget(id -> success(id, "Transfer-Encoding: chunked\r\n"), chunk);
        EndlessTarget rest = new EndlessTarget(id -> success(id, ""), chunk);
        RawTarget good = new RawTarget();
        StallableGateway gateway = new StallableGateway(good)) {
      gateway.configureAt(chunks.address(), good.address(), rest.address());
      sendFromManyCallers(gateway);
      assertThat(chunks.requests() + rest.requests()).isGreaterThan(0);
      StallableGateway.await(() -> gateway.bufferedBytes() == 0);
    }
  }

  private static void sendFromManyCallers(StallableGateway gateway) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      List<StallableGateway.Call> calls = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        String id = round + "-" + caller;
        calls.add(gateway.connect().send(id, "/files/", StallableGateway.ROUTE_TIMEOUT_MS));
      }
      for (StallableGateway.Call call : calls) {
        assertThat(call.status()).isEqualTo(200);
        call.close();
      }
    }
  }

  /** Guards against bounds that break off legitimate responses. */
  @Test
  void largeResponsesAreRelayedUnchanged() throws Exception {
    String body = "0123456789abcdef".repeat(16_000);
    RawTarget.Script script =
        (connection, id) -> success(id, "Content-Length: " + body.length() + "\r\n") + body;
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(gateway.connect().sendBooking("one", 7).body()).isEqualTo(body);
      StallableGateway.await(() -> gateway.bufferedBytes() == 0);
    }
  }

  /** Guards against interim responses that pass for the answer, or for bytes without end. */
  @Test
  void answersAfterInterimResponsesAreRelayed() throws Exception {
    String interim =
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(3)
            + "HTTP/1.1 102 Processing\r\n\r\n".repeat(3)
            + "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(3);
    RawTarget.Script script =
        (connection, id) -> interim + success(id, "Content-Length: 2\r\n") + "ok";
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(gateway.connect().sendBooking("one", 7).body()).isEqualTo("ok");
      assertThat(gateway.connect().sendBooking("two", 7).body()).isEqualTo("ok");
    }
  }

  private static String success(String id, String more) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + more + "\r\n";
  }

  private static void assertCutOff(UnaryOperator<String> start, String repeated) throws Exception {
    try (EndlessTarget target = new EndlessTarget(start, repeated);
        StallableGateway gateway = new StallableGateway(null).configureKeyedAt(target.address())) {
      assertThat(gateway.connect().sendBooking("one", 7).status()).isEqualTo(BAD_GATEWAY);
      StallableGateway.await(() -> target.closedByGateway() == target.requests());
      assertWithMessage("bytes sent by the target")
          .that(target.writtenBytes())
          .isLessThan(StallableGateway.BUDGET_BYTES + SYSTEM_BUFFER_BYTES);
      StallableGateway.await(() -> gateway.bufferedBytes() == 0);
    }
  }
}
