package io.cuminvalve.core.routing;

/**
 * The result of matching a request against the rules.
 *
 * @since 0.1
 */
public enum MatchResult {
  /** A rule matches and the key is present. */
  MATCHED,
  /** No rule matches method and path. */
  NO_RULE,
  /** The first matching rule requires a key that is missing from the request. */
  KEY_MISSING
}
