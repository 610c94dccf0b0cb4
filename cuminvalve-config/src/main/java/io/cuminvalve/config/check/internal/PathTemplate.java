package io.cuminvalve.config.check.internal;

import java.util.List;

/**
 * Compares path templates.
 *
 * @param segments the text between slashes; not null
 * @since 0.1
 */
record PathTemplate(List<String> segments) {

  static PathTemplate parse(String text) {
    return new PathTemplate(List.of(text.substring(1).split("/", -1)));
  }

  /** Tells whether a segment in braces has a name. */
  boolean hasParameter(String name) {
    return segments.contains("{" + name + "}");
  }

  /** Tells whether a request path can match: no segment but the last may be empty. */
  boolean isReachable() {
    for (int i = 0; i < segments.size(); i++) {
      String segment = segments.get(i);
      boolean emptyInside = segment.isEmpty() && segments.size() > 1;
      boolean brokenBraces = !isParameter(segment) && segment.matches(".*[{}].*");
      if (emptyInside || brokenBraces) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether each path that matches the other template matches this one. */
  boolean covers(PathTemplate other) {
    if (segments.size() != other.segments.size()) {
      return false;
    }
    for (int i = 0; i < segments.size(); i++) {
      String mine = segments.get(i);
      if (!isParameter(mine) && !mine.equals(other.segments.get(i))) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether some path matches both templates. */
  boolean overlaps(PathTemplate other) {
    if (segments.size() != other.segments.size()) {
      return false;
    }
    for (int i = 0; i < segments.size(); i++) {
      String mine = segments.get(i);
      String theirs = other.segments.get(i);
      if (!isParameter(mine) && !isParameter(theirs) && !mine.equals(theirs)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isParameter(String segment) {
    return segment.matches("\\{[^{}]+}");
  }
}
