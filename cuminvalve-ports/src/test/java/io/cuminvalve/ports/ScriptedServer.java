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

/** Reads one request per connection and answers with the bytes a test gives, and no more. */
public final class ScriptedServer implements AutoCloseable {

  private final ServerSocket server;
  private final List<Socket> kept = new ArrayList<>();
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private final AtomicInteger broken = new AtomicInteger();
  private volatile String answer = "";
  private volatile boolean closeAfterwards = true;

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

  /** Returns where it listens. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Answers with a whole message. */
  public ScriptedServer answer(int status, String headers, String body) {
    return answerRaw(
        "HTTP/1.1 "
            + status
            + " x\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body);
  }

  /** Answers with these bytes, then closes. */
  public ScriptedServer answerRaw(String bytes) {
    answer = bytes;
    closeAfterwards = true;
    return this;
  }

  /** Closes the connection without an answer to the next requests. */
  public ScriptedServer breakNext(int requestCount) {
    broken.set(requestCount);
    return this;
  }

  /** Reads requests and never answers. */
  public ScriptedServer staySilent() {
    answer = "";
    closeAfterwards = false;
    return this;
  }

  /** Returns the head of the next request, and what came of its body at once. */
  public String nextRequest() throws InterruptedException {
    return requests.take();
  }

  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        requests.add(readRequest(socket.getInputStream()));
        if (broken.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
          socket.close();
          continue;
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        if (closeAfterwards) {
          socket.close();
        } else {
          kept.add(socket);
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
    for (Socket socket : kept) {
      socket.close();
    }
  }
}
