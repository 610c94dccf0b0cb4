package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, indexed for look-ups.
 *
 * <p>Of the routes of a host, the one with the longest matching path prefix is selected. Immutable.
 *
 * @since 0.2
 */
public final class RoutingConfiguration {

  private final long version;
  private final CallerBounds bounds;
  private final Map<ServiceId, ServiceProfile> services;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

  /**
   * Creates a configuration.
   *
   * @param version the version, which increases with each configuration
   * @param routes the routes; not null
   * @param services the services; not null
   * @param bounds the limits for callers; not null
   */
  public RoutingConfiguration(
      long version, List<Route> routes, List<ServiceProfile> services, CallerBounds bounds) {
    this.version = version;
    this.bounds = bounds;
    Map<ServiceId, ServiceProfile> byId = new HashMap<>();
    for (ServiceProfile service : services) {
      byId.put(service.id(), service);
    }
    this.services = Map.copyOf(byId);
    for (Route route : routes) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.prefix(), route);
    }
  }

  /**
   * Returns the version.
   *
   * @return the version, which increases with each configuration
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits for callers.
   *
   * @return never null
   */
  public CallerBounds bounds() {
    return bounds;
  }

  /**
   * Returns the services.
   *
   * @return by id; never null
   */
  public Map<ServiceId, ServiceProfile> services() {
    return services;
  }

  /**
   * Returns whether the keys of a service are owned by targets.
   *
   * @param service the service; not null
   * @return false also if the service is unknown
   */
  public boolean isKeyed(ServiceId service) {
    ServiceProfile profile = services.get(service);
    return profile != null && profile.keyed();
  }

  /**
   * Finds the route of a request.
   *
   * @param host the Host header without the port; not null
   * @param path the path without the query; not null
   * @return empty if no route matches
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> byPrefix = routesByHost.get(host);
    if (byPrefix == null) {
      return Optional.empty();
    }
    int slash = path.lastIndexOf('/');
    while (slash >= 0) {
      Route route = byPrefix.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      slash = path.lastIndexOf('/', slash - 1);
    }
    return Optional.empty();
  }
}
