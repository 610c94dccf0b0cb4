package io.cuminvalve.config.settings;

import java.util.List;

/**
 * Copies lists that a settings file may leave out.
 *
 * @since 0.1
 */
final class Lists {

  private Lists() {}

  static <T> List<T> copyOrEmpty(List<T> values) {
    return values == null ? List.of() : List.copyOf(values);
  }
}
