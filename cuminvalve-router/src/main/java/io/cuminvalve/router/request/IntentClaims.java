package io.cuminvalve.router.request;

import io.cuminvalve.core.verdict.Verdict;

/**
 * Makes other routers know of an operation that must not run twice, before it is sent.
 *
 * @since 0.1
 */
public interface IntentClaims {

  /**
   * Claims the idempotency key of a request. Does not block.
   *
   * @param request the request; not null
   * @param listener hears the answer; not null
   */
  void claim(RequestContext request, IntentListener listener);

  /**
   * Tells how the operation ended.
   *
   * @param request the request; not null
   * @param verdict NOT_RUN frees the key for a resend; not null
   */
  void settle(RequestContext request, Verdict verdict);
}
