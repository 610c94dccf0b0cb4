package io.cuminvalve.ports.http;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;

/** What response checks have noted on each open connection. Thread-safe. */
final class EarlierResponses {

  private final Map<Connection, Set<Object>> byConnection =
      Collections.synchronizedMap(new WeakHashMap<>());

  /** Returns the notes on a connection, which are dropped with it. */
  Set<Object> of(Connection connection) {
    return byConnection.computeIfAbsent(connection, any -> ConcurrentHashMap.newKeySet());
  }
}
