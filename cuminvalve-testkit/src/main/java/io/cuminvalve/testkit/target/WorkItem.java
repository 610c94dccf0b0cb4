package io.cuminvalve.testkit.target;

import io.cuminvalve.testkit.http.Exchange;

/** A request as a target reads it. */
final class WorkItem {

  final Exchange exchange;
  final String requestId;
  final String operation;
  final boolean repeatable;
  final int shard;
  final long token;
  final long expiryMs;
  final long expectedIncarnation;
  final long deadlineMs;
  boolean cancelled;

  WorkItem(Exchange exchange, long nowMs) {
    this.exchange = exchange;
    requestId = orElse(exchange.header(TargetHeaders.REQUEST_ID), "");
    String idempotencyKey = exchange.header(TargetHeaders.IDEMPOTENCY_KEY);
    operation = orElse(exchange.header(TargetHeaders.OPERATION), orElse(idempotencyKey, requestId));
    repeatable =
        idempotencyKey == null && !"false".equals(exchange.header(TargetHeaders.REPEATABLE));
    shard = (int) exchange.headerNumber(TargetHeaders.SHARD, -1);
    token = exchange.headerNumber(TargetHeaders.TOKEN, -1);
    expiryMs = exchange.headerNumber(TargetHeaders.EXPIRY, Long.MIN_VALUE);
    expectedIncarnation = exchange.headerNumber(TargetHeaders.EXPECTED_INCARNATION, 0);
    long timeoutMs = exchange.headerNumber(TargetHeaders.TIMEOUT_MS, Long.MAX_VALUE / 2);
    deadlineMs = nowMs + timeoutMs;
  }

  private static String orElse(String value, String fallback) {
    return value == null ? fallback : value;
  }
}
