package io.cuminvalve.kernel;

import java.util.Objects;

/**
 * The name under which a service is registered, with the type by which it is used.
 *
 * @param <T> the type that callers see
 * @param value the name, unique within a registry; not null
 * @param type the type that callers see; not null
 * @since 0.1
 */
public record ServiceName<T>(String value, Class<T> type) {

  /** Checks that no component is null. */
  public ServiceName {
    Objects.requireNonNull(value, "value");
    Objects.requireNonNull(type, "type");
  }

  @Override
  public String toString() {
    return value;
  }
}
