package io.cuminvalve.ports;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that reads one request per connection and responds with exactly the given bytes. */
public final class ScriptedServer implements AutoCloseable {

  private final ServerSocket server;
  private final List<Socket> openSockets = new ArrayList<>();
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private final AtomicInteger connectionsToClose = new AtomicInteger();
  private volatile String response = "";
  private volatile boolean closeAfterResponse = true;

  /**
   * Starts the server.
   *
   * @throws IOException if no port is free
   */
  public ScriptedServer() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns an address on which nothing listens. */
  public static String refusedAddress() throws IOException {
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + closed.getLocalPort();
    }
  }

  /** Returns the address on which this server listens. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Responds to the next requests with a complete HTTP message. */
  public ScriptedServer respond(int status, String headers, String body) {
    return respondRaw(
        "HTTP/1.1 "
            + status
            + " x\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body);
  }

  /** Responds to the next requests with these bytes, then closes the connection. */
  public ScriptedServer respondRaw(String bytes) {
    response = bytes;
    closeAfterResponse = true;
    return this;
  }

  /** Closes the connection without a response for the given number of requests. */
  public ScriptedServer closeNext(int requestCount) {
    connectionsToClose.set(requestCount);
    return this;
  }

  /** Reads requests without responding, and keeps the connections open. */
  public ScriptedServer neverRespond() {
    response = "";
    closeAfterResponse = false;
    return this;
  }

  /** Returns the head and the body of the next request; waits for it. */
  public String nextRequest() throws InterruptedException {
    return requests.take();
  }

  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        requests.add(readRequest(socket.getInputStream()));
        if (connectionsToClose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
          socket.close();
          continue;
        }
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        if (closeAfterResponse) {
          socket.close();
        } else {
          openSockets.add(socket);
        }
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static String readRequest(InputStream input) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      text.append((char) input.read());
    }
    int length = 0;
    for (String line : text.toString().lines().toList()) {
      if (line.startsWith("Content-Length: ")) {
        length = Integer.parseInt(line.substring("Content-Length: ".length()));
      }
    }
    return text + new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }
}
