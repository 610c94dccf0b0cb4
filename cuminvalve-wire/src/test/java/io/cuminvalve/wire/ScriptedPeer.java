package io.cuminvalve.wire;

import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.wire.internal.FrameDecoder;
import io.cuminvalve.wire.internal.Handshake;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A peer that authenticates with the shared key and then sends only what the test writes. */
final class ScriptedPeer implements AutoCloseable {

  private final SharedKey key;
  private final ServerSocket server;
  private Socket socket;

  ScriptedPeer(SharedKey key) throws IOException {
    this.key = key;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void acceptAndAuthenticate() throws IOException {
    socket = server.accept();
    Handshake handshake = Handshake.ofServer(key, new byte[Handshake.NONCE_BYTES]);
    write(FrameDecoder.frame(handshake.onFrame(readFrame()).orElseThrow()));
    handshake.onFrame(readFrame());
  }

  byte[] readFrame() throws IOException {
    DataInputStream input = new DataInputStream(socket.getInputStream());
    byte[] content = new byte[input.readInt()];
    input.readFully(content);
    return content;
  }

  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  void disconnect() throws IOException {
    socket.close();
  }

  @Override
  public void close() throws IOException {
    if (socket != null) {
      socket.close();
    }
    server.close();
  }
}
