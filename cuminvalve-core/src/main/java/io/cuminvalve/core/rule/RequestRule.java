package io.cuminvalve.core.rule;

import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.ServiceId;

/**
 * Matches one kind of request and defines how it is handled.
 *
 * @param id the identifier of the rule; not null
 * @param service the service that handles the request; not null
 * @param method the HTTP method; not null, upper case
 * @param pathTemplate the path template, such as {@code /claims/{claim}/payouts}; a segment in
 *     braces matches any single segment; not null
 * @param key the location of the key; not null
 * @param kind the request kind, used in metrics; not null
 * @param idempotent whether the request may safely run more than once
 * @param requestClass the urgency of the request; not null
 * @param timeoutMs the timeout if the caller specifies no deadline; milliseconds, at least 1
 * @param coalesce whether identical safe reads in flight may share one response
 * @since 0.1
 */
public record RequestRule(
    RuleId id,
    ServiceId service,
    String method,
    String pathTemplate,
    KeySource key,
    String kind,
    boolean idempotent,
    RequestClass requestClass,
    long timeoutMs,
    boolean coalesce) {}
