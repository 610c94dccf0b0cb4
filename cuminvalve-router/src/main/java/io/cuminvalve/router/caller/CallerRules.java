package io.cuminvalve.router.caller;

import io.cuminvalve.core.request.RetryPolicy;
import io.cuminvalve.core.routing.RequestMatcher;

/**
 * The part of the configuration in force that decides on requests.
 *
 * @param matcher recognises requests; not null
 * @param retryDecider decides on further attempts; not null
 * @param onRequest told of each request, so that retries stay a share of them; not null
 * @since 0.1
 */
public record CallerRules(RequestMatcher matcher, RetryPolicy retryDecider, Runnable onRequest) {}
