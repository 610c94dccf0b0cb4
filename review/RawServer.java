package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a free port of a loopback address, with one thread for each connection. */
abstract class RawServer implements AutoCloseable {

  /** A request with its body. Header names are in lower case. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** A connection; it serves one request at a time. */
  static final class Connection {

    final int number;
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    /** Copies of responses that are sent where the next response is expected. */
    final Deque<byte[]> lateCopies = new ArrayDeque<>();

    /** Whether a response on this connection was lost; then it returns nothing further. */
    volatile boolean mute;

    Connection(int number, Socket socket) throws IOException {
      this.number = number;
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    synchronized void send(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    void close() {
      try {
        socket.close();
      } catch (IOException closedAlready) {
        // Nothing is left to close.
      }
    }
  }

  private final ServerSocket listener;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private int accepted;

  /** Binds a port of an address; any free one if it is 0. */
  RawServer(String ip, int port) throws IOException {
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
  }

  final void open() {
    Thread thread = new Thread(this::accept, "accept");
    thread.setDaemon(true);
    thread.start();
  }

  final String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Handles one request and sends its response, if there is one. */
  abstract void handle(Connection connection, Request request)
      throws IOException, InterruptedException;

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(++accepted, socket);
        connections.add(connection);
        Thread thread = new Thread(() -> serve(connection), "connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Connection connection) {
    try {
      Request request = read(connection.in);
      while (request != null) {
        handle(connection, request);
        request = read(connection.in);
      }
    } catch (IOException | InterruptedException broken) {
      // The peer has closed the connection, or the server was closed.
    } finally {
      connections.remove(connection);
      connection.close();
    }
  }

  final void closeConnections() {
    connections.forEach(Connection::close);
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException closedAlready) {
      // Nothing is left to close.
    }
    closeConnections();
  }

  static byte[] response(int status, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  private static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    String[] words = first.split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new Request(words[0], words[1], headers, body(in, headers));
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = Integer.parseInt(line(in).trim(), 16);
      while (size > 0) {
        body.writeBytes(exactly(in, size));
        line(in);
        size = Integer.parseInt(line(in).trim(), 16);
      }
      line(in);
      return body.toByteArray();
    }
    return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("the body was cut");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return next < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
  }
}
