package io.cuminvalve.ports.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a reset that passes for the end of the stream. */
class ResetReportingEndPointTest {

  private ServerSocket server;
  private SocketChannel channel;
  private Socket peer;
  private ResetReportingEndPoint endPoint;

  @BeforeEach
  void setUp() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    channel =
        SocketChannel.open(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
    peer = server.accept();
    endPoint = new ResetReportingEndPoint(channel, null, null, null);
  }

  @AfterEach
  void tearDown() throws IOException {
    peer.close();
    channel.close();
    server.close();
  }

  @Test
  void readReportsTheEndOfTheStream() throws IOException {
    peer.close();
    assertThat(read()).isEqualTo(-1);
  }

  @Test
  void readFailsAfterReset() throws IOException {
    reset();
    assertThrows(IOException.class, this::read);
  }

  /** The operating system reports a reset only once, here to the write. */
  @Test
  void readFailsAfterWriteHasMetTheReset() throws IOException {
    reset();
    assertThrows(IOException.class, this::writeUntilFailure);
    assertThrows(IOException.class, this::read);
  }

  /** Bytes that arrived before the reset are still read. */
  @Test
  void readsOfBytesBeforeTheResetSucceed() throws IOException {
    peer.getOutputStream().write(1);
    assertThat(read()).isEqualTo(1);
    reset();
    assertThrows(IOException.class, this::writeUntilFailure);
    assertThrows(IOException.class, this::read);
  }

  /** The peer has sent everything and then resets the connection because of unread bytes. */
  @Test
  void readReportsTheEndOfTheStreamThatCameBeforeTheReset() throws IOException {
    peer.getOutputStream().write(1);
    peer.shutdownOutput();
    endPoint.flush(ByteBuffer.wrap(new byte[1]));
    peer.close();
    assertThrows(IOException.class, this::writeUntilFailure);
    assertThat(read()).isEqualTo(1);
    assertThat(read()).isEqualTo(-1);
  }

  private void reset() throws IOException {
    peer.setSoLinger(true, 0);
    peer.close();
  }

  private int read() throws IOException {
    return endPoint.fill(BufferUtil.allocate(16));
  }

  private void writeUntilFailure() throws IOException {
    while (true) {
      endPoint.flush(ByteBuffer.wrap(new byte[1]));
    }
  }
}
