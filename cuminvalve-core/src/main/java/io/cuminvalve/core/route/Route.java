package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;
import java.util.List;

/**
 * Defines the destination and handling of requests for one host and path prefix.
 *
 * @param name the name of the route in logs; not null
 * @param host the value of the Host header without the port; lower case, not null
 * @param prefix the path prefix, which starts and ends with a slash; not null
 * @param idempotent whether a request may run more than once
 * @param timeoutMs maximum time until the caller gets a response; milliseconds
 * @param targetLatencyMs latency objective of responses; milliseconds
 * @param priority the priority under overload; 0 is the highest
 * @param services the weighted services that receive the requests; not null, not empty
 * @param maxAttempts maximum number of targets to which one request may be sent; at least 1
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
   * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
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
