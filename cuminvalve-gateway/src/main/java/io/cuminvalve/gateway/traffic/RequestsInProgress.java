package io.cuminvalve.gateway.traffic;

import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.eclipse.jetty.io.EndPoint;

/**
 * The requests of callers that have no complete response yet, and their connections.
 *
 * <p>Whether a request is admitted is decided in one step with the count of requests and with the
 * choice of connections to close. So no request begins after the last one was counted, or on a
 * connection that is being closed as idle. Thread-safe.
 */
final class RequestsInProgress {

  private final Set<RequestInProgress> requests = new HashSet<>();
  private final Map<EndPoint, Integer> requestsByConnection = new IdentityHashMap<>();
  private final Set<EndPoint> closingConnections =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private boolean closed;

  /**
   * Adds a request, which has to be removed when its response has been written.
   *
   * @return false if the request has to be refused
   */
  synchronized boolean add(RequestInProgress request) {
    requests.add(request);
    requestsByConnection.merge(request.endPoint(), 1, Integer::sum);
    return !closed && !closingConnections.contains(request.endPoint());
  }

  synchronized void remove(RequestInProgress request) {
    if (requests.remove(request)) {
      requestsByConnection.computeIfPresent(
          request.endPoint(), (connection, count) -> count > 1 ? count - 1 : null);
    }
  }

  synchronized int size() {
    return requests.size();
  }

  /** Admits no more requests from now on. */
  synchronized void close() {
    closed = true;
  }

  /** Admits no more requests if there is none. Returns whether none is admitted from now on. */
  synchronized boolean closeIfEmpty() {
    closed |= requests.isEmpty();
    return closed;
  }

  /**
   * Admits no more requests of a connection if it has none. Returns whether it may be closed now.
   */
  synchronized boolean claimIdle(EndPoint connection) {
    return !requestsByConnection.containsKey(connection) && closingConnections.add(connection);
  }

  /** Ends every request with a response of this gateway. Requests must not be admitted any more. */
  void endAll() {
    List<RequestInProgress> left;
    synchronized (this) {
      left = List.copyOf(requests);
    }
    left.forEach(RequestInProgress::endEarly);
  }

  /** Returns how many requests are in each phase, for the log. */
  synchronized String summary() {
    Map<RequestPhase, Integer> counts = new EnumMap<>(RequestPhase.class);
    for (RequestPhase phase : RequestPhase.values()) {
      counts.put(phase, 0);
    }
    requests.forEach(request -> counts.merge(request.phase(), 1, Integer::sum));
    return counts.entrySet().stream()
        .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + "=" + entry.getValue())
        .collect(Collectors.joining(" "));
  }
}
