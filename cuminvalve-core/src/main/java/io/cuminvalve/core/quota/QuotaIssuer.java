package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Issues tokens for targets with a rate limit to the gateways that request them.
 *
 * <p>One process is the issuer for all of its followers. If the fleet is partitioned, each part
 * gets a share of the limit in proportion to its size, so that two issuers together issue no more
 * than one would. Not thread-safe.
 *
 * @since 0.2
 */
public final class QuotaIssuer {

  /** How long a gateway counts as active after a request. */
  private static final long ACTIVE_MS = 2_000;

  /** Lower bound of the share, so that a small part of the fleet still gets tokens. */
  private static final double MIN_SHARE = 0.001;

  private static final int MAX_GATEWAYS = 2_048;

  private final Map<TargetId, PriorityTokenBucket> buckets = new HashMap<>();
  private final Map<TargetId, Map<String, Long>> requestedAtMs = new HashMap<>();
  private double share = 1;

  /**
   * Sets the limits in force. A new target starts with an empty bucket.
   *
   * @param limits requests per second by target; not null
   * @param nowMs the current time in milliseconds
   */
  public void setLimits(Map<TargetId, Double> limits, long nowMs) {
    buckets.keySet().retainAll(limits.keySet());
    requestedAtMs.keySet().retainAll(limits.keySet());
    limits.forEach(
        (target, perS) ->
            buckets
                .computeIfAbsent(target, id -> new PriorityTokenBucket(perS, nowMs))
                .setRate(perS, share, nowMs));
  }

  /**
   * Sets the share of the limits that this process issues: the part of the fleet that follows it.
   *
   * @param followers the number of following gateways, this one included; at least 1
   * @param fleetSize the number of all gateways, unreachable ones included; at least 1
   */
  public void setShare(int followers, int fleetSize) {
    share = Math.max(MIN_SHARE, Math.min(1, (double) followers / Math.max(1, fleetSize)));
  }

  /**
   * Handles a request for tokens.
   *
   * @param gateway the requesting gateway; not null
   * @param target the target; not null
   * @param priority the priority of the requests; lower is more urgent
   * @param wanted the number of requests to send now; at least 0
   * @param ahead the number of further requests expected soon; at least 0
   * @param nowMs the current time in milliseconds
   * @return the grant; empty if this process knows of no limit of the target
   */
  public Optional<QuotaGrant> ask(
      String gateway, TargetId target, int priority, int wanted, int ahead, long nowMs) {
    PriorityTokenBucket bucket = buckets.get(target);
    if (bucket == null) {
      return Optional.empty();
    }
    int granted = bucket.take(priority, wanted, ahead, share, nowMs);
    long waitMs = granted < wanted ? bucket.waitMs(priority, share) : 0;
    double spacingMs = bucket.tokenIntervalMs(share) * recordRequest(target, gateway, nowMs);
    return Optional.of(new QuotaGrant(granted, waitMs, (long) Math.ceil(spacingMs)));
  }

  private int recordRequest(TargetId target, String gateway, long nowMs) {
    Map<String, Long> active = requestedAtMs.computeIfAbsent(target, id -> new HashMap<>());
    active.values().removeIf(atMs -> nowMs - atMs > ACTIVE_MS);
    if (active.size() < MAX_GATEWAYS) {
      active.put(gateway, nowMs);
    }
    return active.size();
  }
}
