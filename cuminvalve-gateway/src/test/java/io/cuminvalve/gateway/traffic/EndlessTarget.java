package io.cuminvalve.gateway.traffic;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/** A target on raw sockets that sends to each request until the gateway closes the connection. */
final class EndlessTarget implements AutoCloseable {

  /** Ends a build whose gateway never closes the connection; far above every bound. */
  private static final long MAX_WRITTEN_BYTES = 256L * 1024 * 1024;

  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  private final UnaryOperator<String> start;
  private final byte[] repeated;
  private final ServerSocket listener;
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger closedByGateway = new AtomicInteger();
  private final AtomicLong writtenBytes = new AtomicLong();

  /**
   * Starts a target.
   *
   * @param start returns what is sent first to the request with an id; not null
   * @param repeated what is sent again and again after that; not empty
   */
  EndlessTarget(UnaryOperator<String> start, String repeated) throws IOException {
    this.start = start;
    this.repeated = repeated.getBytes(StandardCharsets.ISO_8859_1);
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    thread(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the number of requests that reached this target. */
  int requests() {
    return requests.get();
  }

  /** Returns how many connections the gateway closed while this target was sending. */
  int closedByGateway() {
    return closedByGateway.get();
  }

  /** Returns the number of bytes taken by all connections together, their buffers included. */
  long writtenBytes() {
    return writtenBytes.get();
  }

  private static void thread(Runnable work) {
    Thread thread = new Thread(work, "endless-target");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        accepted.add(socket);
        thread(() -> serve(socket));
      }
    } catch (IOException closed) {
      // The test is over.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = RawTarget.readHead(socket.getInputStream());
      if (head == null) {
        return;
      }
      requests.incrementAndGet();
      String id = RawTarget.header(head, "X-Attempt-Id").orElse("");
      send(socket.getOutputStream(), start.apply(id).getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException closed) {
      closedByGateway.incrementAndGet();
    }
  }

  private void send(OutputStream output, byte[] first) throws IOException {
    output.write(first);
    byte[] block = block();
    while (writtenBytes.get() < MAX_WRITTEN_BYTES) {
      output.write(block);
      writtenBytes.addAndGet(block.length);
    }
  }

  private byte[] block() {
    int repetitions = Math.max(1, SEND_BUFFER_BYTES / repeated.length);
    byte[] block = new byte[repetitions * repeated.length];
    for (int i = 0; i < repetitions; i++) {
      System.arraycopy(repeated, 0, block, i * repeated.length, repeated.length);
    }
    return block;
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : accepted) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
