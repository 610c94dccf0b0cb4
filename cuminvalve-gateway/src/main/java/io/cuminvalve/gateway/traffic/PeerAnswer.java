package io.cuminvalve.gateway.traffic;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * The complete answer of a peer to a relayed request.
 *
 * @param outcome how the request ended there; not null
 * @param status the HTTP status
 * @param headers the header fields; not null
 * @param body the body, which belongs to whoever receives the answer; not null
 */
record PeerAnswer(RelayOutcome outcome, int status, HttpFields headers, BufferedBody body) {

  /** Returns the number of targets on which the request may have run; 0 if the peer did not say. */
  int runs() {
    return (int) Math.min(Integer.MAX_VALUE, number(RelayHeaders.RUNS).orElse(0L));
  }

  /** Returns the number of attempts of the peer that provably did not run. */
  int refusals() {
    return (int) Math.min(Integer.MAX_VALUE, number(RelayHeaders.REFUSALS).orElse(0L));
  }

  /** Returns when a retry may succeed; milliseconds; empty if the peer did not say. */
  Optional<Long> retryAfterMs() {
    return number(RelayHeaders.RETRY_AFTER_MS).filter(ms -> ms > 0);
  }

  private Optional<Long> number(String field) {
    try {
      return Optional.ofNullable(headers.get(field)).map(Long::parseLong).filter(n -> n >= 0);
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
