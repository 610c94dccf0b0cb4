package io.cuminvalve.router.request;

import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;

/**
 * Hears whether an operation may be sent. Exactly one method is called, once, from any thread.
 *
 * @since 0.1
 */
public interface IntentListener {

  /** The routers that have to know of the operation know of it. */
  void onGranted();

  /**
   * The operation must not be sent.
   *
   * @param earlier whether the operation of the key may have run; not null
   * @param reason why; not null
   * @param retryAfterMs when to come back; milliseconds
   */
  void onRefused(Verdict earlier, RefusalReason reason, long retryAfterMs);
}
