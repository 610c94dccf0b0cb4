package io.cuminvalve.core.routing;

import io.cuminvalve.core.rule.RequestRule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Finds the rule and the key of a request. Immutable and thread-safe.
 *
 * <p>Rules are tried in order; the first one whose method and path template match is selected.
 * Matching does not allocate unless a segment has to be percent-decoded.
 *
 * @since 0.1
 */
public final class RequestMatcher {

  private static final int MAX_SEGMENTS = 32;

  private final Map<String, CompiledRule[][]> byMethod;

  /**
   * Compiles rules.
   *
   * @param rules in order of precedence; not null
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if a template or key is
   *     malformed
   */
  public RequestMatcher(List<RequestRule> rules) {
    Map<String, List<CompiledRule>> grouped = new HashMap<>();
    for (RequestRule rule : rules) {
      grouped
          .computeIfAbsent(rule.method(), method -> new ArrayList<>())
          .add(CompiledRule.of(rule, MAX_SEGMENTS));
    }
    byMethod = new HashMap<>();
    grouped.forEach((method, compiled) -> byMethod.put(method, bySegmentCount(compiled)));
  }

  /**
   * Matches a request.
   *
   * @param method the HTTP method; not null
   * @param path the raw path, percent-encoded, with or without a query; not null
   * @param headers returns the value of a header, or null; not null
   * @param into receives rule and key; cleared first; not null
   * @return the result of the match
   */
  public MatchResult match(
      String method, String path, UnaryOperator<String> headers, RouteMatch into) {
    into.clear();
    CompiledRule[][] candidates = byMethod.get(method);
    if (candidates == null) {
      return MatchResult.NO_RULE;
    }
    int end = Paths.end(path);
    int segments = Paths.countSegments(path, end);
    if (segments > MAX_SEGMENTS) {
      return MatchResult.NO_RULE;
    }
    for (CompiledRule candidate : candidates[segments]) {
      if (candidate.matchesPath(path, end)) {
        return candidate.extractKey(path, end, headers, into);
      }
    }
    return MatchResult.NO_RULE;
  }

  private static CompiledRule[][] bySegmentCount(List<CompiledRule> compiled) {
    CompiledRule[][] result = new CompiledRule[MAX_SEGMENTS + 1][];
    for (int count = 0; count <= MAX_SEGMENTS; count++) {
      int wanted = count;
      result[count] =
          compiled.stream()
              .filter(rule -> rule.segmentCount() == wanted)
              .toArray(CompiledRule[]::new);
    }
    return result;
  }
}
