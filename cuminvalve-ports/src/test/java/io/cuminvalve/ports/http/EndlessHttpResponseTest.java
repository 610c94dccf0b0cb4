package io.cuminvalve.ports.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a server that sends bytes without end in any part of a response: the client kept
 * them all until its memory was used up.
 */
class EndlessHttpResponseTest {

  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final int BLOCK_BYTES = 64 * 1024;

  /** Ends the response of a server whose client never closes the connection. */
  private static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

  /** More than the buffers of both sockets, which the client need not read. */
  private static final long SOCKET_BUFFERS_BYTES = 16L * 1024 * 1024;

  private final BoundedHttpClient client = new BoundedHttpClient("test", 5_000);
  private final AtomicLong sentBytes = new AtomicLong();
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

  /** The parts of a response: what is sent once, and what is repeated after it. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "status line, HTTP/1.1 200 , a",
    "field name, 'HTTP/1.1 200 OK\\r\\n', a",
    "field value, 'HTTP/1.1 200 OK\\r\\nX-Field: ', a",
    "fields, 'HTTP/1.1 200 OK\\r\\n', 'X-Field: a\\r\\n'",
    "interim responses, '', 'HTTP/1.1 103 Early\\r\\n\\r\\n'",
    "body, 'HTTP/1.1 200 OK\\r\\n\\r\\n', a",
    "chunks, 'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n', '1\\r\\na\\r\\n'",
    "chunk size, 'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n', 0",
    "chunk extension, 'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;', a",
    "trailers, 'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n', 'F: a\\r\\n'",
    "no response, '', a"
  })
  void endlessResponsesAreCutOff(String part, String start, String repeated) throws IOException {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/order";
    GuardedCall order =
        new GuardedCall(
            "POST",
            url,
            Map.of(),
            "text/plain",
            new byte[0],
            CALL_TIMEOUT_MS,
            false,
            () -> true,
            (status, headers, earlier) -> true);
    CompletableFuture<HttpCallResult> call = client.call(order);
    try (Socket connection = server.accept()) {
      readHead(connection.getInputStream());
      sendUntilClosed(connection.getOutputStream(), unescape(start), unescape(repeated));
    }
    assertThat(call.join().kind()).isEqualTo(HttpCallResult.Kind.BROKEN);
    assertWithMessage("bytes sent before the client closed the connection")
        .that(sentBytes.get())
        .isLessThan(SOCKET_BUFFERS_BYTES);
  }

  private static String unescape(String text) {
    return text.replace("\\r\\n", "\r\n");
  }

  private void sendUntilClosed(OutputStream out, String start, String repeated) {
    byte[] block =
        repeated.repeat(BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.US_ASCII);
    try {
      out.write(start.getBytes(StandardCharsets.US_ASCII));
      while (sentBytes.get() < MAX_SENT_BYTES) {
        out.write(block);
        sentBytes.addAndGet(block.length);
      }
    } catch (IOException closed) {
      // The client has closed the connection.
    }
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertThat(next).isAtLeast(0);
      head.append((char) next);
    }
  }
}
