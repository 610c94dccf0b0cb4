package io.cuminvalve.gateway.observe;

import java.util.Locale;

/**
 * The outcome of a request as seen by its caller.
 *
 * @since 0.2
 */
public enum RequestOutcome {
  /** A target answered the request. */
  ANSWERED,
  /** A target answered with a failure. */
  FAILED_AT_TARGET,
  /** The request did not run, and the caller was informed. */
  REFUSED,
  /** The deadline passed while a target may have been processing the request. */
  TIMED_OUT,
  /** The connection to the target broke, or its response was invalid. */
  BROKEN,
  /** The caller disconnected before the response. */
  CALLER_GONE;

  /**
   * Returns the metric label.
   *
   * @return the name in lower case; never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
