package io.cuminvalve.core.request;

/**
 * Delays that callers are told when nothing better is known.
 *
 * @since 0.1
 */
public final class RetryDefaults {

  /** When to come back after a refusal that names no time; milliseconds. */
  public static final long DEFAULT_RETRY_AFTER_MS = 250;

  private RetryDefaults() {}
}
