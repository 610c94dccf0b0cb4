package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Gives out what targets with a limit take, request by request, to whichever gateway asks.
 *
 * <p>One process does that for all that follow it. If a fleet is split, each part gets a share of
 * the limit by its size, so that two issuers together give out no more than one. Not safe for use
 * by several threads.
 *
 * @since 0.2
 */
public final class QuotaIssuer {

  /** A gateway that asked counts as asking for so long. */
  private static final long ASKING_MS = 2_000;

  /** A part of the fleet is never so small that nothing is given out. */
  private static final double LEAST_SHARE = 0.001;

  private static final int MOST_GATEWAYS = 2_048;

  private final Map<TargetId, PriorityTokenBucket> buckets = new HashMap<>();
  private final Map<TargetId, Map<String, Long>> askedMs = new HashMap<>();
  private double share = 1;

  /**
   * Sets the limits in force. A target that is new here starts with nothing saved up.
   *
   * @param limits requests a second by target; not null
   * @param nowMs the time; milliseconds
   */
  public void setLimits(Map<TargetId, Double> limits, long nowMs) {
    buckets.keySet().retainAll(limits.keySet());
    askedMs.keySet().retainAll(limits.keySet());
    limits.forEach(
        (target, perS) ->
            buckets
                .computeIfAbsent(target, id -> new PriorityTokenBucket(perS, nowMs))
                .setRate(perS, share, nowMs));
  }

  /**
   * Sets which part of the fleet follows this process.
   *
   * @param following how many gateways do, this one included; at least 1
   * @param fleet how many there are, those included that cannot be heard; at least 1
   */
  public void setShare(int following, int fleet) {
    share = Math.max(LEAST_SHARE, Math.min(1, (double) following / Math.max(1, fleet)));
  }

  /**
   * Takes a question.
   *
   * @param gateway who asks; not null
   * @param target the target; not null
   * @param priority the priority of the requests; lower is more urgent
   * @param wanted how many it wants to send now; at least 0
   * @param ahead how many more it expects to send soon; at least 0
   * @param nowMs the time; milliseconds
   * @return empty if this process knows of no limit of the target
   */
  public Optional<QuotaGrant> ask(
      String gateway, TargetId target, int priority, int wanted, int ahead, long nowMs) {
    PriorityTokenBucket bucket = buckets.get(target);
    if (bucket == null) {
      return Optional.empty();
    }
    int granted = bucket.take(priority, wanted, ahead, share, nowMs);
    long waitMs = granted < wanted ? bucket.waitMs(priority, share) : 0;
    double spacingMs = bucket.tokenMs(share) * noteAsking(target, gateway, nowMs);
    return Optional.of(new QuotaGrant(granted, waitMs, (long) Math.ceil(spacingMs)));
  }

  private int noteAsking(TargetId target, String gateway, long nowMs) {
    Map<String, Long> asking = askedMs.computeIfAbsent(target, id -> new HashMap<>());
    asking.values().removeIf(atMs -> nowMs - atMs > ASKING_MS);
    if (asking.size() < MOST_GATEWAYS) {
      asking.put(gateway, nowMs);
    }
    return asking.size();
  }
}
