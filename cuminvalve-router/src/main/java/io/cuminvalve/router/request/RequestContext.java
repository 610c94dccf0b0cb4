package io.cuminvalve.router.request;

import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.rule.RequestRule;

/**
 * What a router knows of a request once it has read its head.
 *
 * @param id its identifier, given by this router; not null
 * @param rule the rule that recognised it; not null
 * @param tenant on whose behalf it is made; not null
 * @param key the key that decides on its owner; not null
 * @param idempotencyKey names the operation; null if the caller gave none
 * @param arrivedMs when its head was read, on this router's clock
 * @param deadlineMs when its caller stops waiting, on this router's clock
 * @since 0.1
 */
public record RequestContext(
    RequestId id,
    RequestRule rule,
    TenantId tenant,
    String key,
    IdempotencyKey idempotencyKey,
    long arrivedMs,
    long deadlineMs) {}
