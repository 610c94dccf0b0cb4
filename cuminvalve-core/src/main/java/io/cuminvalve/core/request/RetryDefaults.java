package io.cuminvalve.core.request;

/**
 * Default retry delays reported to callers.
 *
 * @since 0.1
 */
public final class RetryDefaults {

  /** When to retry after a refusal that gives no time; milliseconds. */
  public static final long DEFAULT_RETRY_AFTER_MS = 250;

  private RetryDefaults() {}
}
