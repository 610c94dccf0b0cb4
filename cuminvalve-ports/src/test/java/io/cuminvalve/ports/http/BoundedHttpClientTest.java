package io.cuminvalve.ports.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A call may wait for its answer for as long as its own bound allows.
 *
 * <p>Seen: waits at the store that are bounded to 31.5 s ended without an answer, as {@code
 * store_lost}, 30.0 s after they had begun.
 *
 * <p>How: the times of {@code configuration_in_force} and {@code store_lost} on three gateways;
 * then a call of 31.5 s to a server that answers after 30.004 s, which ended without an answer.
 *
 * <p>Cause: unused connections are closed after 30 s, and one on which a call waits counts as
 * unused. A wait of 30 s at a store that is well therefore ends as if the store were lost.
 *
 * <p>Proof: below, a call waits for longer than connections may be idle: the end of another, idle
 * one tells that this time is over.
 */
class BoundedHttpClientTest {

  private static final long IDLE_MS = 2_000;
  private static final long BOUND_MS = 600_000;
  private static final byte[] ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

  private final BoundedHttpClient caller = new BoundedHttpClient("test", 5_000, IDLE_MS);
  private ServerSocket server;

  @BeforeEach
  void setUp() throws IOException {
    server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
    caller.start();
  }

  @AfterEach
  void tearDown() throws IOException {
    caller.stop();
    server.close();
  }

  /** Whoever gave a call up must not have it carried out later: what is not read yet is lost. */
  @Test
  void callsThatWereGivenUpAreTakenBack() throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/v1/grant";
    byte[] order = "order".getBytes(StandardCharsets.US_ASCII);
    HttpCallResult answer = caller.call("POST", url, "text/plain", order, 300).join();
    assertThat(answer.kind()).isEqualTo(HttpCallResult.Kind.NO_ANSWER);
    caller.stop();
    String arrived = "nothing";
    try (Socket late = server.accept()) {
      arrived = new String(late.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException reset) {
      // The call was taken back.
    }
    assertThat(arrived).isEqualTo("nothing");
  }

  /** Behind a new connection may be another run of whom the call is for. */
  @Test
  void callsForKnownConnectionsAreSentOverNoOther() {
    List<String> served = new CopyOnWriteArrayList<>();
    Thread answering = new Thread(() -> answerAll(served));
    answering.setDaemon(true);
    answering.start();
    assertThat(callOverKnownConnection().join().kind()).isEqualTo(HttpCallResult.Kind.NOT_SENT);
    assertThat(served).isEmpty();
    assertThat(call("/first").join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    assertThat(callOverKnownConnection().join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    assertThat(served).hasSize(2);
  }

  /** Answers every request on every connection, until the server is closed. */
  private void answerAll(List<String> served) {
    try {
      while (true) {
        Socket accepted = server.accept();
        Thread answering = new Thread(() -> answerOn(accepted, served));
        answering.setDaemon(true);
        answering.start();
      }
    } catch (IOException closed) {
      // The test is over.
    }
  }

  private static void answerOn(Socket accepted, List<String> served) {
    try (accepted) {
      while (true) {
        served.add(readHead(accepted));
        accepted.getOutputStream().write(ANSWER);
      }
    } catch (IOException closed) {
      // The caller is done with this connection.
    }
  }

  private CompletableFuture<HttpCallResult> callOverKnownConnection() {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/known";
    return caller.callOverKnownConnection(
        "POST", url, Map.of(), "text/plain", new byte[0], BOUND_MS, () -> true);
  }

  /** An order whose connection came late went out although it had been forbidden meanwhile. */
  @Test
  void whatIsForbiddenWhenItsConnectionComesIsNotSent() throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/late";
    CompletableFuture<HttpCallResult> withheld =
        caller.callIf("POST", url, Map.of(), "text/plain", new byte[0], BOUND_MS, () -> false);
    try (Socket connection = server.accept()) {
      assertThat(withheld.join().kind()).isEqualTo(HttpCallResult.Kind.NOT_SENT);
      assertThat(firstByteOf(connection)).isEqualTo(-1);
    }
  }

  /** Returns -1 also if the connection was reset before any. */
  private static int firstByteOf(Socket connection) throws IOException {
    try {
      return connection.getInputStream().read();
    } catch (SocketException reset) {
      return -1;
    }
  }

  @Test
  void callsThatWaitAreNotIdle() throws IOException {
    final CompletableFuture<HttpCallResult> waiting = call("/wait");
    try (Socket waits = accept()) {
      final CompletableFuture<HttpCallResult> answered = call("/now");
      try (Socket idle = accept()) {
        idle.getOutputStream().write(ANSWER);
        assertThat(answered.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
        awaitEnd(idle.getInputStream());
      }
      waits.getOutputStream().write(ANSWER);
      assertThat(waiting.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    }
  }

  private CompletableFuture<HttpCallResult> call(String path) {
    return caller.call("GET", "http://127.0.0.1:" + server.getLocalPort() + path, BOUND_MS);
  }

  /** Takes a connection, and from it the head of a request. */
  private Socket accept() throws IOException {
    Socket accepted = server.accept();
    readHead(accepted);
    return accepted;
  }

  private static String readHead(Socket accepted) throws IOException {
    InputStream in = accepted.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the connection ended before the request");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /** Waits until the caller has closed the connection, which it does with a reset. */
  private static void awaitEnd(InputStream in) throws IOException {
    try {
      while (in.read() >= 0) {
        // Whatever comes before the end does not matter.
      }
    } catch (SocketException reset) {
      // The end, too.
    }
  }
}
