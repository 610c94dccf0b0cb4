package io.cuminvalve.gateway.traffic;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** The requests of callers that have no complete response yet. Thread-safe. */
final class RequestsInProgress {

  private final Set<RequestInProgress> requests = ConcurrentHashMap.newKeySet();

  void add(RequestInProgress request) {
    requests.add(request);
  }

  void remove(RequestInProgress request) {
    requests.remove(request);
  }

  /** Returns how many requests are in each phase, for the log. */
  String summary() {
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
