package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.atomic.AtomicBoolean;

/** A client that keeps a connection to one gateway open and sends one request after the other. */
final class Client implements AutoCloseable {

  /** What the client got: a status, or 0 if the connection ended without a complete response. */
  record Answer(int status, Map<String, String> headers, byte[] body) {}

  private static final int DEADLINE_MS = 3_000;

  /** Status of a request that the client gave up at its deadline. */
  static final int GIVEN_UP = -1;

  private static final Timer DEADLINES = new Timer("deadlines", true);

  private final String address;
  private volatile Socket socket;
  private InputStream in;

  Client(String address) {
    this.address = address;
  }

  Answer send(String method, String host, String path, String attemptId, int key, byte[] body) {
    AtomicBoolean late = new AtomicBoolean();
    TimerTask deadline =
        new TimerTask() {
          @Override
          public void run() {
            late.set(true);
            closeSocket();
          }
        };
    DEADLINES.schedule(deadline, DEADLINE_MS);
    try {
      connect();
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      head.append("Host: ").append(host).append("\r\n");
      head.append("X-Attempt-Id: ").append(attemptId).append("\r\n");
      head.append("X-Deadline-Ms: ").append(DEADLINE_MS).append("\r\n");
      head.append("X-Shard-Key: ").append(key).append("\r\n");
      if (body.length > 0) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(body);
      socket.getOutputStream().write(bytes.toByteArray());
      return readAnswer();
    } catch (IOException broken) {
      close();
      return new Answer(late.get() ? GIVEN_UP : 0, Map.of(), new byte[0]);
    } finally {
      deadline.cancel();
    }
  }

  private void connect() throws IOException {
    if (socket == null) {
      int colon = address.lastIndexOf(':');
      socket = new Socket();
      socket.setTcpNoDelay(true);
      int port = Integer.parseInt(address.substring(colon + 1));
      socket.connect(new InetSocketAddress(address.substring(0, colon), port), 1_000);
      in = new BufferedInputStream(socket.getInputStream());
    }
  }

  private Answer readAnswer() throws IOException {
    int status = Integer.parseInt(line().split(" ")[1]);
    Map<String, String> headers = new HashMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the response was cut");
    }
    if ("close".equalsIgnoreCase(headers.get("connection"))) {
      close();
    }
    return new Answer(status, headers, body);
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("the connection was closed");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    closeSocket();
    socket = null;
  }

  private void closeSocket() {
    Socket open = socket;
    try {
      if (open != null) {
        open.close();
      }
    } catch (IOException closedAlready) {
      // Nothing is left to close.
    }
  }
}
