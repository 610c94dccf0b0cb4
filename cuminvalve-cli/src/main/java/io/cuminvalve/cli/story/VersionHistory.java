package io.cuminvalve.cli.story;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/** When each version was named first by any gateway. */
final class VersionHistory {

  private final TreeMap<String, Long> firstMs =
      new TreeMap<>(
          Comparator.comparing(VersionHistory::partsOf, Arrays::compare)
              .thenComparing(Comparator.naturalOrder()));

  private static long[] partsOf(String version) {
    return Arrays.stream(version.split("\\.", -1))
        .mapToLong(part -> part.matches("\\d{1,18}") ? Long.parseLong(part) : -1)
        .toArray();
  }

  void onNamed(String version, long atMs) {
    if (!version.equals(LogLine.NONE)) {
      firstMs.putIfAbsent(version, atMs);
    }
  }

  /** Returns the newest version so far; a dash if none was named. */
  String newest() {
    return firstMs.isEmpty() ? LogLine.NONE : firstMs.lastKey();
  }

  /** Returns for how long a newer version than one had been named at a time; 0 if none was. */
  long behindMs(String version, long atMs) {
    return firstMs.tailMap(version, false).entrySet().stream()
        .map(Map.Entry::getValue)
        .mapToLong(first -> Math.max(0, atMs - first))
        .max()
        .orElse(0);
  }
}
