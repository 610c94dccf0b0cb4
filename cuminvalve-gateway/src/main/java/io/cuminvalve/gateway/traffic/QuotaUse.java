package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.LocalQuota;
import io.cuminvalve.gateway.observe.DecisionLog;

/** This gateway's share of one limit, with a count of the requests sent for the log. */
final class QuotaUse {

  /** Shortest interval between two log lines on the requests sent to one limited target. */
  private static final long LOG_INTERVAL_MS = 4_000;

  private final TargetId target;
  private final ServiceId service;
  private final LocalQuota localQuota;
  private final DecisionLog log;
  private long sinceMs;
  private int sent;

  QuotaUse(TargetId target, ServiceId service, LocalQuota localQuota, DecisionLog log, long nowMs) {
    this.target = target;
    this.service = service;
    this.localQuota = localQuota;
    this.log = log;
    this.sinceMs = nowMs;
  }

  ServiceId service() {
    return service;
  }

  LocalQuota localQuota() {
    return localQuota;
  }

  /** Counts a request that was sent under a limit in requests per second. */
  void onSent(double limitPerS, long nowMs) {
    sent++;
    if (nowMs - sinceMs < LOG_INTERVAL_MS) {
      return;
    }
    log.write(
        "target_limit_used",
        "target={} limit_per_s={} sent={} in_ms={} alone={}",
        target,
        limitPerS,
        sent,
        nowMs - sinceMs,
        localQuota.isIssuerUnreachable());
    sent = 0;
    sinceMs = nowMs;
  }
}
