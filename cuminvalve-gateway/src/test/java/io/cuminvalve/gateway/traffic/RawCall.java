package io.cuminvalve.gateway.traffic;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller's connection on a raw socket. */
final class RawCall implements AutoCloseable {

  private final Socket socket;

  /** Connects to a port of this host. */
  RawCall(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
  }

  /** A response as it was read. */
  record Reply(int status, String head, byte[] body) {

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Sends the head of a request with an id and further lines, then its body. */
  RawCall send(String start, String id, String lines, byte[] body) throws IOException {
    String head =
        start
            + " HTTP/1.1\r\nHost: files.example\r\nX-Attempt-Id: "
            + id
            + "\r\nX-Deadline-Ms: 60000\r\n"
            + lines
            + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
    return this;
  }

  /** Sends a request without a body. */
  RawCall get(String path, String id) throws IOException {
    return send("GET " + path, id, "", new byte[0]);
  }

  /** Sends a request with a key and a body. */
  RawCall post(String path, String id, byte[] body) throws IOException {
    String lines = "X-Shard-Key: 7\r\nContent-Length: " + body.length + "\r\n";
    return send("POST " + path, id, lines, body);
  }

  /** Sends further bytes. */
  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Reads a complete response; null if the connection ends without one. */
  Reply reply() throws IOException {
    String head = RawTarget.readHead(socket.getInputStream());
    if (head == null) {
      return null;
    }
    int length = RawTarget.header(head, "Content-Length").map(Integer::parseInt).orElse(0);
    byte[] body = socket.getInputStream().readNBytes(length);
    return new Reply(Integer.parseInt(head.split(" ")[1]), head, body);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
