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
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the HTTP client against real sockets.
 *
 * <p>Guards against the idle timeout ending a call that still waits for its response. The client
 * closes connections that are idle for 30 s, and by default a connection with a waiting call counts
 * as idle. A watch with a timeout of 31.5 s on a healthy store then ended without a response after
 * 30.0 s, as {@code store_lost}, although the response would have come after 30.004 s.
 */
class BoundedHttpClientTest {

  private static final long IDLE_TIMEOUT_MS = 2_000;
  private static final long CALL_TIMEOUT_MS = 600_000;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

  private static final ResponseCheck ANY_RESPONSE = (status, headers, earlier) -> true;

  private final BoundedHttpClient client = new BoundedHttpClient("test", 5_000, IDLE_TIMEOUT_MS);
  private ServerSocket server;

  @BeforeEach
  void setUp() throws IOException {
    server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
    client.start();
  }

  @AfterEach
  void tearDown() throws IOException {
    client.stop();
    server.close();
  }

  /** A call that timed out must not take effect later: data not yet read is discarded. */
  @Test
  void timedOutCallsAreNotDelivered() throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/v1/grant";
    byte[] order = "order".getBytes(StandardCharsets.US_ASCII);
    HttpCallResult result = client.call("POST", url, "text/plain", order, 300).join();
    assertThat(result.kind()).isEqualTo(HttpCallResult.Kind.NO_ANSWER);
    client.stop();
    String arrived = "nothing";
    try (Socket late = server.accept()) {
      arrived = new String(late.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException reset) {
      // The connection was reset, and the request discarded.
    }
    assertThat(arrived).isEqualTo("nothing");
  }

  /** Guards against a part of a response without a length that passes for the whole one. */
  @Test
  void responsesThatEndWithResetAreBroken() throws IOException {
    CompletableFuture<HttpCallResult> call = call("/range");
    try (Socket connection = accept()) {
      byte[] part = "HTTP/1.1 200 OK\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);
      connection.getOutputStream().write(part);
      connection.setSoLinger(true, 0);
    }
    assertThat(call.join().kind()).isEqualTo(HttpCallResult.Kind.BROKEN);
  }

  /** Guards against bytes that are no response in the protocol and pass for one. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Field : 1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX\u0001Field: 1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Field\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}"
      })
  void malformedResponsesAreBroken(String response) throws IOException {
    CompletableFuture<HttpCallResult> call = call("/range");
    try (Socket connection = accept()) {
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      connection.shutdownOutput();
      assertThat(call.join().kind()).isEqualTo(HttpCallResult.Kind.BROKEN);
    }
  }

  /** A new connection may lead to another incarnation of the server. */
  @Test
  void callsOverKnownConnectionsUseNoNewOne() {
    List<String> served = new CopyOnWriteArrayList<>();
    Thread responder = new Thread(() -> respondOnAllConnections(served));
    responder.setDaemon(true);
    responder.start();
    assertThat(callOverKnownConnection().join().kind()).isEqualTo(HttpCallResult.Kind.NOT_SENT);
    assertThat(served).isEmpty();
    assertThat(call("/first").join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    assertThat(callOverKnownConnection().join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    assertThat(served).hasSize(2);
  }

  /** Responds to every request on every connection until the server is closed. */
  private void respondOnAllConnections(List<String> served) {
    try {
      while (true) {
        Socket accepted = server.accept();
        Thread responder = new Thread(() -> respondOn(accepted, served));
        responder.setDaemon(true);
        responder.start();
      }
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private static void respondOn(Socket accepted, List<String> served) {
    try (accepted) {
      while (true) {
        served.add(readHead(accepted));
        accepted.getOutputStream().write(RESPONSE);
      }
    } catch (IOException closed) {
      // The client has closed this connection.
    }
  }

  private CompletableFuture<HttpCallResult> callOverKnownConnection() {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/known";
    return client.call(guarded(url, true, () -> true, ANY_RESPONSE));
  }

  private static GuardedCall guarded(
      String url, boolean knownConnectionOnly, BooleanSupplier mayBegin, ResponseCheck check) {
    return new GuardedCall(
        "POST",
        url,
        Map.of(),
        "text/plain",
        new byte[0],
        CALL_TIMEOUT_MS,
        knownConnectionOnly,
        mayBegin,
        check);
  }

  /** Guards against a connection that stays in use although a response on it was not expected. */
  @Test
  void unexpectedResponsesCloseTheirConnection() throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/order";
    ResponseCheck oncePerConnection = (status, headers, earlier) -> earlier.add(status);
    GuardedCall order = guarded(url, false, () -> true, oncePerConnection);
    CompletableFuture<HttpCallResult> first = client.call(order);
    try (Socket connection = accept()) {
      connection.getOutputStream().write(RESPONSE);
      assertThat(first.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
      CompletableFuture<HttpCallResult> second = client.call(order);
      readHead(connection);
      connection.getOutputStream().write(RESPONSE);
      assertThat(second.join().kind()).isEqualTo(HttpCallResult.Kind.BROKEN);
      awaitEnd(connection.getInputStream());
    }
    CompletableFuture<HttpCallResult> third = client.call(order);
    try (Socket connection = accept()) {
      connection.getOutputStream().write(RESPONSE);
      assertThat(third.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    }
  }

  /** Guards against sending an order that was forbidden while its connection was being opened. */
  @Test
  void callsForbiddenWhenConnectedAreNotSent() throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/late";
    CompletableFuture<HttpCallResult> withheld =
        client.call(guarded(url, false, () -> false, ANY_RESPONSE));
    try (Socket connection = server.accept()) {
      assertThat(withheld.join().kind()).isEqualTo(HttpCallResult.Kind.NOT_SENT);
      assertThat(firstByteOf(connection)).isEqualTo(-1);
    }
  }

  /** Returns -1 at the end of the stream, or if the connection was reset before any byte. */
  private static int firstByteOf(Socket connection) throws IOException {
    try {
      return connection.getInputStream().read();
    } catch (SocketException reset) {
      return -1;
    }
  }

  /**
   * A call waits for longer than the idle timeout. The close of another, idle connection shows that
   * the timeout has passed.
   */
  @Test
  void waitingCallsAreNotIdle() throws IOException {
    final CompletableFuture<HttpCallResult> waiting = call("/wait");
    try (Socket waits = accept()) {
      final CompletableFuture<HttpCallResult> answered = call("/now");
      try (Socket idle = accept()) {
        idle.getOutputStream().write(RESPONSE);
        assertThat(answered.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
        awaitEnd(idle.getInputStream());
      }
      waits.getOutputStream().write(RESPONSE);
      assertThat(waiting.join().kind()).isEqualTo(HttpCallResult.Kind.ANSWERED);
    }
  }

  private CompletableFuture<HttpCallResult> call(String path) {
    return client.call("GET", "http://127.0.0.1:" + server.getLocalPort() + path, CALL_TIMEOUT_MS);
  }

  /** Accepts a connection and reads the head of a request from it. */
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

  /** Waits until the client has closed the connection, which it does with a reset. */
  private static void awaitEnd(InputStream in) throws IOException {
    try {
      while (in.read() >= 0) {
        // Data before the end of the stream is ignored.
      }
    } catch (SocketException reset) {
      // A reset also ends the connection.
    }
  }
}
