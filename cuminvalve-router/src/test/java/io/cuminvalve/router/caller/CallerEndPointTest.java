package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.NanoTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that count from the arrival of earlier ones: a caller that sends its next
 * request as soon as it has a response leaves no time in which its connection is seen empty.
 */
class CallerEndPointTest {

  private static final UpperTime ACCEPTED = new UpperTime(100);
  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: any\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private ServerSocket server;
  private Socket caller;
  private SocketChannel accepted;
  private long nowMs = ACCEPTED.ms();

  @BeforeEach
  void setUp() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    accepted =
        SocketChannel.open(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
    caller = server.accept();
  }

  @AfterEach
  void tearDown() throws IOException {
    caller.close();
    accepted.close();
    server.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 4})
  void requestArrivedAfterTheReadOfTheOneBefore(int maxReadAhead) throws IOException {
    CallerEndPoint endPoint = endPoint(maxReadAhead);
    assertThat(arrivalOfNext(endPoint, 1_000, REQUEST.length + 1)).isEqualTo(ACCEPTED);
    assertThat(arrivalOfNext(endPoint, 5_000, REQUEST.length + 1)).isEqualTo(new UpperTime(1_000));
    assertThat(arrivalOfNext(endPoint, 9_000, REQUEST.length + 1)).isEqualTo(new UpperTime(5_000));
  }

  /** More may have been there than the buffer takes. */
  @Test
  void readThatFillsTheBufferTellsNothing() throws IOException {
    CallerEndPoint endPoint = endPoint(0);
    assertThat(arrivalOfNext(endPoint, 1_000, REQUEST.length)).isEqualTo(ACCEPTED);
    assertThat(arrivalOfNext(endPoint, 5_000, REQUEST.length)).isEqualTo(ACCEPTED);
  }

  private CallerEndPoint endPoint(int maxReadAhead) {
    PipelineLimits limits = new PipelineLimits(maxReadAhead, new ReadAheadCounts(), ahead -> {});
    return new CallerEndPoint(
        accepted, null, null, null, Runnable::run, () -> nowMs, ACCEPTED, limits);
  }

  /** Sends a request, lets the server read it and returns after which moment it arrived. */
  private UpperTime arrivalOfNext(CallerEndPoint endPoint, long readAtMs, int bufferBytes)
      throws IOException {
    caller.getOutputStream().write(REQUEST);
    nowMs = readAtMs;
    ByteBuffer buffer = BufferUtil.allocate(bufferBytes);
    assertThat(endPoint.fill(buffer)).isEqualTo(REQUEST.length);
    return endPoint.arrivedAfter(NanoTime.now());
  }
}
