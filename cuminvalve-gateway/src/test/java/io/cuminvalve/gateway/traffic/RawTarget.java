package io.cuminvalve.gateway.traffic;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A target on raw sockets that records each request as soon as it has been read.
 *
 * <p>Unless a script is given, its response depends on the prefix of the request's id, see the
 * constants.
 */
final class RawTarget implements AutoCloseable {

  /** Requests with this prefix wait for {@link #releaseResponses}, then get a "not executed". */
  static final String REFUSED_LATE = "refused-late-";

  /** Decides on the bytes that are sent after a request has been read. */
  @FunctionalInterface
  interface Script {

    /**
     * Returns what to send; called on a thread of the connection.
     *
     * @param connection the number of the connection, counted from 1
     * @param id the id of the request; not null
     */
    String responseTo(int connection, String id) throws InterruptedException;
  }

  private final Script script;
  private final ServerSocket listener;
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Received> received = new ArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final CountDownLatch responsesReleased = new CountDownLatch(1);

  RawTarget() throws IOException {
    this(null);
  }

  RawTarget(Script script) throws IOException {
    this.script = script == null ? this::responseByPrefix : script;
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    thread(this::acceptAll);
  }

  /** A request as it reached the target. */
  record Arrival(String id, long deadlineMs, int connection) {}

  /** A request as it was read. */
  record Received(String head, byte[] body) {}

  /** Returns the requests in the order in which they were read. */
  synchronized List<Received> received() {
    return List.copyOf(received);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Returns the number of arrivals of a request id. */
  long arrivalsOf(String id) {
    return arrivals().stream().filter(arrival -> arrival.id().equals(id)).count();
  }

  /** Responds to all waiting requests now and to later ones immediately. */
  void releaseResponses() {
    responsesReleased.countDown();
  }

  private static void thread(Runnable work) {
    Thread thread = new Thread(work, "raw-target");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
        accepted.add(socket);
        openConnections.incrementAndGet();
        int connection = accepted.size();
        thread(() -> serve(socket, connection));
      }
    } catch (IOException closed) {
      // The test is over.
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream input = socket.getInputStream();
      for (String head = readHead(input); head != null; head = readHead(input)) {
        String id = header(head, "X-Attempt-Id").orElse("");
        long deadlineMs = header(head, "X-Deadline-Ms").map(Long::parseLong).orElse(-1L);
        int length = header(head, "Content-Length").map(Integer::parseInt).orElse(0);
        final byte[] body = input.readNBytes(length);
        synchronized (this) {
          arrivals.add(new Arrival(id, deadlineMs, connection));
          received.add(new Received(head, body));
        }
        String response = script.responseTo(connection, id);
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException closed) {
      // The gateway closed the connection, which several tests expect.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openConnections.decrementAndGet();
    }
  }

  /** Returns the number of connections that have not been read to their end. */
  int openConnections() {
    return openConnections.get();
  }

  private String responseByPrefix(int connection, String id) throws InterruptedException {
    if (id.startsWith(REFUSED_LATE)) {
      responsesReleased.await();
      return rejection(503, id);
    }
    return success(id);
  }

  /** Returns the response to a request that ran. */
  static String success(String id) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok";
  }

  /** Returns the response to a request that did not run. */
  static String rejection(int status, String id) {
    return notExecuted(status + " Rejected\r\nX-Attempt-Id: " + id);
  }

  /** Returns a rejection that does not name its request. */
  static String rejectionWithoutId(int status) {
    return notExecuted(status + " Rejected");
  }

  private static String notExecuted(String start) {
    return "HTTP/1.1 " + start + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /** Reads up to and including the empty line; null at the end of the stream. */
  static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    for (int next = input.read(); next >= 0; next = input.read()) {
      head.write(next);
      String text = head.toString(StandardCharsets.ISO_8859_1);
      if (text.endsWith("\r\n\r\n")) {
        return text;
      }
    }
    return null;
  }

  static Optional<String> header(String head, String name) {
    String wanted = name.toLowerCase(Locale.ROOT) + ":";
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(wanted))
        .map(line -> line.substring(wanted.length()).trim())
        .findFirst();
  }

  @Override
  public void close() {
    releaseResponses();
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
