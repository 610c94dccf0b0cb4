package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.WeightedService;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/**
 * What a gateway without a path to the targets says about a request that it relays.
 *
 * @param id the id that the answer repeats; not null
 * @param earlierRuns the number of targets on which it may have run
 * @param maxRuns the number of targets on which it may have run when this gateway is done with it
 * @param ageMs the time since it arrived at the first gateway; milliseconds
 * @param workMs the time from its arrival here for which a target may work on it; milliseconds;
 *     empty if the first gateway does not stop; not null
 * @param service the service chosen there; not null
 * @param caller the IP address of the caller; not null
 */
record RelayedRequest(
    String id,
    int earlierRuns,
    int maxRuns,
    long ageMs,
    OptionalLong workMs,
    String service,
    String caller) {

  private static final String ATTRIBUTE = RelayedRequest.class.getName();

  /** Returns what the first gateway said; empty for a request of an own caller. */
  static Optional<RelayedRequest> of(Request request) {
    return request.getAttribute(ATTRIBUTE) instanceof RelayedRequest relayed
        ? Optional.of(relayed)
        : Optional.empty();
  }

  /** Reads the header fields; empty if one is missing or malformed. */
  static Optional<RelayedRequest> read(HttpFields headers) {
    String id = headers.get(RelayHeaders.ID);
    String service = headers.get(RelayHeaders.SERVICE);
    String caller = headers.get(RelayHeaders.CALLER);
    if (id == null || service == null || caller == null) {
      return Optional.empty();
    }
    try {
      int earlierRuns = Integer.parseInt(headers.get(RelayHeaders.RUNS));
      int maxRuns = Integer.parseInt(headers.get(RelayHeaders.MAX_RUNS));
      long ageMs = Long.parseLong(headers.get(RelayHeaders.AGE_MS));
      String work = headers.get(RelayHeaders.WORK_MS);
      OptionalLong workMs =
          work == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(work));
      boolean valid = earlierRuns >= 0 && maxRuns > earlierRuns && ageMs >= 0;
      return valid
          ? Optional.of(
              new RelayedRequest(id, earlierRuns, maxRuns, ageMs, workMs, service, caller))
          : Optional.empty();
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  /** Marks a request as relayed. */
  void attachTo(Request request) {
    request.setAttribute(ATTRIBUTE, this);
  }

  /** Returns the service chosen by the first gateway; empty if this route does not lead to it. */
  Optional<ServiceId> serviceOf(Route route) {
    return route.services().stream()
        .map(WeightedService::service)
        .filter(part -> part.value().equals(service))
        .findFirst();
  }

  /** Adds to a response of a relayed request how the request ended; leaves others as they are. */
  static void markOutcome(Response response, RelayOutcome outcome, long retryAfterMs) {
    of(response.getRequest())
        .ifPresent(
            relayed -> {
              HttpFields.Mutable headers = response.getHeaders();
              headers.put(RelayHeaders.ID, relayed.id());
              headers.put(RelayHeaders.RETRY_AFTER_MS, retryAfterMs);
              if (!headers.contains(RelayHeaders.OUTCOME)) {
                headers.put(RelayHeaders.OUTCOME, outcome.label());
              }
            });
  }
}
