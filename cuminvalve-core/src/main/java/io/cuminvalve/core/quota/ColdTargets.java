package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Tracks which targets are cold, until when, and how many requests per second they get meanwhile.
 *
 * <p>Each process derives this from the registry. A limit ends by itself. Not thread-safe.
 *
 * @since 0.2
 */
public final class ColdTargets {

  /** Bounds the memory, even if all targets of a large fleet start at once. */
  private static final int MAX_TARGETS = 4_096;

  /** The limit of one target. */
  private record Limit(double perS, long untilMs) {}

  private final Map<TargetId, Limit> limits = new HashMap<>();

  /**
   * Records that a target is cold.
   *
   * @param target the incarnation of the target; not null
   * @param perS requests per second that it gets; above 0
   * @param untilMs when it is warm; an earlier time than known is ignored; milliseconds
   * @param nowMs the current time; milliseconds
   * @return whether its limit began or lasts longer than known
   */
  public boolean onCold(TargetId target, double perS, long untilMs, long nowMs) {
    Limit known = limits.get(target);
    boolean later = untilMs > nowMs && (known == null || known.untilMs() < untilMs);
    if (later) {
      removeEnded(nowMs);
      if (limits.size() < MAX_TARGETS) {
        limits.put(target, new Limit(perS, untilMs));
      }
    }
    return later;
  }

  /**
   * Returns the limit of a target.
   *
   * @param target the incarnation of the target; not null
   * @param nowMs the current time; milliseconds
   * @return requests per second; empty if it is warm
   */
  public OptionalDouble limitOf(TargetId target, long nowMs) {
    Limit limit = limits.get(target);
    return limit == null || limit.untilMs() <= nowMs
        ? OptionalDouble.empty()
        : OptionalDouble.of(limit.perS());
  }

  /**
   * Returns for how long a target is still cold.
   *
   * @param target the incarnation of the target; not null
   * @param nowMs the current time; milliseconds
   * @return milliseconds; 0 if it is warm
   */
  public long leftMs(TargetId target, long nowMs) {
    Limit limit = limits.get(target);
    return limit == null ? 0 : Math.max(0, limit.untilMs() - nowMs);
  }

  /**
   * Returns the limits of all cold targets.
   *
   * @param nowMs the current time; milliseconds
   * @return requests per second by target; never null
   */
  public Map<TargetId, Double> limits(long nowMs) {
    Map<TargetId, Double> result = new HashMap<>();
    limits.forEach(
        (target, limit) -> {
          if (limit.untilMs() > nowMs) {
            result.put(target, limit.perS());
          }
        });
    return result;
  }

  /**
   * Returns whether any target may be cold.
   *
   * @return false if none was recorded since all limits ended
   */
  public boolean isEmpty() {
    return limits.isEmpty();
  }

  /**
   * Removes limits that have ended.
   *
   * @param nowMs the current time; milliseconds
   */
  public void removeEnded(long nowMs) {
    limits.values().removeIf(limit -> limit.untilMs() <= nowMs);
  }
}
