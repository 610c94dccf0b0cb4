package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;
import java.util.List;

/**
 * Where the requests of one host and path prefix go, and what may be done with them.
 *
 * @param name names the route in logs; not null
 * @param host the value of the Host header, without a port; lower case, not null
 * @param prefix the beginning of the path; begins and ends with a slash; not null
 * @param idempotent whether a request may run more than once
 * @param timeoutMs the longest time that a caller is kept waiting; milliseconds
 * @param targetLatencyMs the time within which an answer is worth most; milliseconds
 * @param priority its rank under overload; 0 is the highest
 * @param services where requests go, by weight; not null, not empty
 * @param maxAttempts to how many targets one request may be sent; at least 1
 * @since 0.2
 */
public record Route(
    String name,
    String host,
    String prefix,
    boolean idempotent,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Chooses a service by weight.
   *
   * @param draw a number from 0 to below 1, drawn evenly
   * @return never null
   */
  public ServiceId choose(double draw) {
    double total = 0;
    for (WeightedService part : services) {
      total += part.weight();
    }
    double left = draw * total;
    for (WeightedService part : services) {
      left -= part.weight();
      if (left < 0) {
        return part.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
