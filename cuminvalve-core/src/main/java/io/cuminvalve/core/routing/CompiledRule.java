package io.cuminvalve.core.routing;

import io.cuminvalve.core.rule.KeySource;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.function.UnaryOperator;

/**
 * A rule whose path template is split into segments.
 *
 * @since 0.1
 */
final class CompiledRule {

  private static final int NO_SEGMENT = -1;

  private final RequestRule rule;

  /** One literal per segment; null matches any text. */
  private final String[] literals;

  private final int keySegment;

  private CompiledRule(RequestRule rule, String[] literals, int keySegment) {
    this.rule = rule;
    this.literals = literals;
    this.keySegment = keySegment;
  }

  static CompiledRule of(RequestRule rule, int maxSegments) {
    String template = rule.pathTemplate();
    if (!template.startsWith("/")) {
      throw malformed(rule, "path template does not start with a slash");
    }
    String[] segments =
        template.length() == 1 ? new String[0] : template.substring(1).split("/", -1);
    if (segments.length > maxSegments) {
      throw malformed(rule, "path template has more than " + maxSegments + " segments");
    }
    int keySegment = NO_SEGMENT;
    String keyVariable = "{" + rule.key().name() + "}";
    for (int i = 0; i < segments.length; i++) {
      if (segments[i].startsWith("{") && segments[i].endsWith("}")) {
        if (segments[i].equals(keyVariable)) {
          keySegment = i;
        }
        segments[i] = null;
      }
    }
    if (rule.key().place() == KeySource.Place.PATH && keySegment == NO_SEGMENT) {
      throw malformed(rule, "path template lacks " + keyVariable);
    }
    return new CompiledRule(rule, segments, keySegment);
  }

  private static CodedException malformed(RequestRule rule, String problem) {
    return new CodedException(ErrorCode.INVALID_INPUT, "rule " + rule.id() + ": " + problem);
  }

  int segmentCount() {
    return literals.length;
  }

  /** Returns whether a path with the same number of segments as this rule matches. */
  boolean matchesPath(String path, int end) {
    int start = 1;
    for (String literal : literals) {
      int segmentEnd = Paths.segmentEnd(path, start, end);
      if (literal != null && !matchesLiteral(literal, path, start, segmentEnd)) {
        return false;
      }
      start = segmentEnd + 1;
    }
    return !path.isEmpty() && path.charAt(0) == '/';
  }

  MatchResult extractKey(String path, int end, UnaryOperator<String> headers, RouteMatch into) {
    return rule.key().place() == KeySource.Place.HEADER
        ? keyFromHeader(headers, into)
        : keyFromPath(path, end, into);
  }

  private MatchResult keyFromHeader(UnaryOperator<String> headers, RouteMatch into) {
    String value = headers.apply(rule.key().name());
    if (value == null || value.isEmpty()) {
      return MatchResult.KEY_MISSING;
    }
    into.set(rule, value, 0, value.length());
    return MatchResult.MATCHED;
  }

  private MatchResult keyFromPath(String path, int end, RouteMatch into) {
    int start = 1;
    for (int i = 0; i < keySegment; i++) {
      start = Paths.segmentEnd(path, start, end) + 1;
    }
    int segmentEnd = Paths.segmentEnd(path, start, end);
    if (start >= segmentEnd) {
      return MatchResult.KEY_MISSING;
    }
    if (!Paths.isEncoded(path, start, segmentEnd)) {
      into.set(rule, path, start, segmentEnd);
      return MatchResult.MATCHED;
    }
    String decoded = Paths.decode(path, start, segmentEnd);
    if (decoded == null) {
      return MatchResult.KEY_MISSING;
    }
    into.set(rule, decoded, 0, decoded.length());
    return MatchResult.MATCHED;
  }

  private static boolean matchesLiteral(String literal, String path, int start, int end) {
    if (Paths.isEncoded(path, start, end)) {
      return literal.equals(Paths.decode(path, start, end));
    }
    int length = literal.length();
    return length == end - start && path.regionMatches(start, literal, 0, length);
  }
}
