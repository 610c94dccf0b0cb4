package io.cuminvalve.kernel;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Maps names to the services of one process.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class ServiceRegistry {

  private final Map<String, Object> services = new ConcurrentHashMap<>();

  /**
   * Adds a service.
   *
   * @param name its name; not null
   * @param service the service; not null
   * @param <T> the type that callers see
   * @throws CodedException with code INTERNAL if the name is already registered
   */
  public <T> void register(ServiceName<T> name, T service) {
    if (services.putIfAbsent(name.value(), service) != null) {
      throw new CodedException(ErrorCode.INTERNAL, "service registered twice: " + name);
    }
  }

  /**
   * Looks up a service.
   *
   * @param name its name; not null
   * @param <T> the type that callers see
   * @return the service, never null
   * @throws CodedException with code INTERNAL if it does not exist or has another type
   */
  public <T> T get(ServiceName<T> name) {
    Object service = services.get(name.value());
    if (service == null) {
      throw new CodedException(ErrorCode.INTERNAL, "no service is registered as " + name);
    }
    if (!name.type().isInstance(service)) {
      throw new CodedException(
          ErrorCode.INTERNAL, "service " + name + " is not of type " + name.type().getName());
    }
    return name.type().cast(service);
  }

  /**
   * Returns the names of all services.
   *
   * @return sorted, never null
   */
  public List<String> names() {
    return services.keySet().stream().sorted().toList();
  }
}
