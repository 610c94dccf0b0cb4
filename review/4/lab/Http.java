import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread for each connection, and the parsing of messages. */
final class Http {

  /** The head and the body of a request or of a response. */
  record Message(String first, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.get(name.toLowerCase());
    }

    String method() {
      return first.split(" ")[0];
    }

    String path() {
      return first.split(" ")[1].split("\\?")[0];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String query(String name) {
      String[] parts = first.split(" ")[1].split("\\?", 2);
      for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
        String[] sides = pair.split("=", 2);
        if (sides[0].equals(name)) {
          return URLDecoder.decode(sides.length < 2 ? "" : sides[1], StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles requests; a null result closes the connection without a response. */
  interface Handler {
    byte[] handle(Message request, Socket connection) throws Exception;
  }

  /** Accepts connections until it is closed. */
  static final class Server implements AutoCloseable {

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Server(String host, int port, Handler handler) throws IOException {
      this.listener = new ServerSocket();
      this.handler = handler;
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
      start(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    /** Closes all open connections; new ones are accepted. */
    void dropConnections() {
      connections.forEach(Http::close);
    }

    private void accept() {
      while (!closed) {
        try {
          Socket connection = listener.accept();
          connection.setTcpNoDelay(true);
          connections.add(connection);
          start(() -> serve(connection));
        } catch (IOException ended) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          Message request = read(in, false);
          byte[] response = handler.handle(request, connection);
          if (response == null) {
            return;
          }
          out.write(response);
          out.flush();
        }
      } catch (Exception ended) {
        // The peer is gone, or the stand-in ends the connection.
      } finally {
        connections.remove(connection);
        Http.close(connection);
      }
    }

    @Override
    public void close() {
      closed = true;
      try {
        listener.close();
      } catch (IOException ignored) {
        // It ends anyway.
      }
      dropConnections();
    }
  }

  private Http() {}

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void close(Socket connection) {
    try {
      connection.close();
    } catch (IOException ignored) {
      // It ends anyway.
    }
  }

  /** Reads one message; a response without a length has no body here, unless it ends the stream. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    String first = line(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      for (int size = chunk(in); size > 0; size = chunk(in)) {
        body.write(exactly(in, size));
        line(in);
      }
      line(in);
    } else if (headers.containsKey("content-length")) {
      body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
    }
    return new Message(first, headers, body.toByteArray());
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].trim(), 16);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the body is cut");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static byte[] response(int status, Map<String, String> headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(bytes);
    return all.toByteArray();
  }
}
