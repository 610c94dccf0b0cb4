package io.cuminvalve.gateway.observe;

import java.util.Locale;

/**
 * How a request ended, as its caller saw it.
 *
 * @since 0.2
 */
public enum RequestOutcome {
  /** A target answered it. */
  ANSWERED,
  /** A target answered that it failed. */
  FAILED_AT_TARGET,
  /** It did not run, and the caller was told so. */
  REFUSED,
  /** Its time was over while a target may have worked on it. */
  TIMED_OUT,
  /** The connection to the target broke, or its answer was unusable. */
  BROKEN,
  /** The caller left before the answer. */
  CALLER_GONE;

  /**
   * Returns the name for labels.
   *
   * @return lower case; never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
