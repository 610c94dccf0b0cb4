package io.cuminvalve.core.pace;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Finds, at one gateway, the pace of targets that have started or recovered.
 *
 * <p>Load: all gateways learn of such a target at the same time, and none sees more than its own
 * part of the answers. A target begins with a small share of a warm target's requests. The share
 * doubles while answers are as fast as those of its peers, halves on a slow or refused answer, and
 * starts again on a missing one. Each choice of a target is drawn with the share as probability, so
 * that the sum over all gateways has the same share, however many gateways there are.
 *
 * <p>Not thread-safe. Times are of one clock that never goes back.
 *
 * @since 0.2
 */
public final class TargetPaces {

  /** Returned while a choice leaves the target out, unless no other target can take the request. */
  public static final double LEFT_OUT_SHARE = 0.001;

  private static final double SMALLEST_SHARE = 0.125;

  /** Answers of the whole fleet, estimated from those of this gateway, that allow a step. */
  private static final int ANSWERS_PER_STEP = 8;

  /** Shortest time between two steps, in which answers of the step before arrive. */
  private static final long MIN_STEP_MS = 250;

  /** Time after which the share grows without any answer, since this gateway may send none. */
  private static final long UNSEEN_STEP_MS = 1_000;

  /** Steps take up to eight times as long for a target that fails again and again. */
  private static final int MAX_RELAPSES = 3;

  /** A failure within this time of the one before is a relapse. */
  private static final long RELAPSE_MS = 10_000;

  /** A target that is slower than its peers for so long is left to the balance of load. */
  private static final long MAX_PACE_MS = 20_000;

  /** Answers that take more times the mean of the peers than this are slow. */
  private static final double SLOW_RATIO = 2;

  /** As {@link #SLOW_RATIO}, compared with the target itself at its smallest share. */
  private static final double SLOWER_THAN_AT_START_RATIO = 1.5;

  /** Weight of the newest answer in the mean of a target at its smallest share. */
  private static final double START_WEIGHT = 0.5;

  private final RandomGenerator random;
  private final Map<TargetId, Pace> paces = new HashMap<>();
  private final Map<TargetId, ServiceId> known = new HashMap<>();
  private final Map<ServiceId, Integer> targetsByService = new HashMap<>();
  private final Map<ServiceId, Integer> pacedByService = new HashMap<>();
  private final List<PaceStep> steps = new ArrayList<>();
  private int processes = 1;
  private boolean started;

  /**
   * Creates an object that knows no target.
   *
   * @param random draws the choices; not null
   */
  public TargetPaces(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Sets the targets that accept requests. Those of the first call that names any are not paced:
   * this gateway cannot know when they started.
   *
   * @param ready all ready targets of all services; not null
   * @param gateways the number of running gateways; at least 1
   * @param nowMs the current time; milliseconds
   */
  public void onTargets(Collection<FleetTarget> ready, int gateways, long nowMs) {
    processes = gateways;
    Map<TargetId, ServiceId> next = new HashMap<>();
    targetsByService.clear();
    for (FleetTarget target : ready) {
      next.put(target.id(), target.service());
      targetsByService.merge(target.service(), 1, Integer::sum);
    }
    paces.keySet().stream()
        .filter(id -> !next.containsKey(id))
        .toList()
        .forEach(id -> end(paces.get(id)));
    paces.keySet().retainAll(next.keySet());
    List<TargetId> added = next.keySet().stream().filter(id -> !known.containsKey(id)).toList();
    known.clear();
    known.putAll(next);
    if (started) {
      added.forEach(id -> begin(id, new Pace(nowMs), nowMs));
      added.forEach(id -> restart(id, paces.get(id), "started"));
    }
    started |= !next.isEmpty();
  }

  /**
   * Records an answer.
   *
   * @param target the run of the target; not null
   * @param relativeTime its time, in means of the target's peers; above 0
   * @param nowMs the current time; milliseconds
   */
  public void onAnswer(TargetId target, double relativeTime, long nowMs) {
    Pace pace = paces.get(target);
    if (pace == null || !advance(target, pace, nowMs)) {
      return;
    }
    if (relativeTime < pace.startTime) {
      pace.startTime = Math.max(1, pace.startTime + START_WEIGHT * (relativeTime - pace.startTime));
    }
    if (relativeTime <= Math.max(SLOW_RATIO, SLOWER_THAN_AT_START_RATIO * pace.startTime)) {
      pace.answers++;
      boolean enough = (long) pace.answers * processes >= ANSWERS_PER_STEP;
      if (enough && nowMs - pace.steppedMs >= MIN_STEP_MS << pace.relapses) {
        grow(target, pace, nowMs, "answers");
      }
    } else if (pace.share > smallestShare(target)) {
      stepBack(target, pace, nowMs, "slow");
    } else {
      pace.startTime += START_WEIGHT * (relativeTime - pace.startTime);
    }
  }

  /**
   * Records that a target refused a request or failed it.
   *
   * @param target the run of the target; not null
   * @param nowMs the current time; milliseconds
   */
  public void onRefused(TargetId target, long nowMs) {
    Pace pace = paces.get(target);
    if (pace != null && advance(target, pace, nowMs)) {
      stepBack(target, pace, nowMs, "refused");
    }
  }

  /**
   * Records that an answer is missing. The target is paced from now on, also if it was not.
   *
   * @param target the run of the target; one that is not ready is ignored; not null
   * @param nowMs the current time; milliseconds
   */
  public void onMissing(TargetId target, long nowMs) {
    if (!known.containsKey(target)) {
      return;
    }
    Pace pace = paces.computeIfAbsent(target, id -> new Pace(nowMs));
    long sinceMissedMs = nowMs - pace.missedMs;
    if (pace.hasMissed && sinceMissedMs >= RELAPSE_MS) {
      pace.relapses = 0;
    } else if (pace.hasMissed && sinceMissedMs >= MIN_STEP_MS) {
      pace.relapses = Math.min(MAX_RELAPSES, pace.relapses + 1);
    }
    pace.hasMissed = true;
    pace.missedMs = nowMs;
    begin(target, pace, nowMs);
    restart(target, pace, "missing");
  }

  /**
   * Returns the share of a target for one choice, drawn so that its mean is the share.
   *
   * @param target the run of the target; not null
   * @param nowMs the current time; milliseconds
   * @return 1, or {@link #LEFT_OUT_SHARE}
   */
  public double drawShare(TargetId target, long nowMs) {
    double share = shareOf(target, nowMs);
    return share >= 1 || random.nextDouble() < share ? 1 : LEFT_OUT_SHARE;
  }

  /**
   * Returns the share of a target.
   *
   * @param target the run of the target; not null
   * @param nowMs the current time; milliseconds
   * @return above 0, at most 1; 1 if it is not paced
   */
  public double shareOf(TargetId target, long nowMs) {
    Pace pace = paces.get(target);
    if (pace == null || !advance(target, pace, nowMs)) {
      return 1;
    }
    return Math.max(pace.share, smallestShare(target));
  }

  /**
   * Returns the number of paced targets.
   *
   * @return at least 0
   */
  public int size() {
    return pacedByService.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Returns the steps since the last call.
   *
   * @return in order; never null
   */
  public List<PaceStep> takeSteps() {
    List<PaceStep> taken = List.copyOf(steps);
    steps.clear();
    return taken;
  }

  private boolean advance(TargetId target, Pace pace, long nowMs) {
    if (pace.active && nowMs - pace.beganMs >= MAX_PACE_MS) {
      finish(target, pace, "time_over");
    }
    // One step at a time: a target that this gateway pauses is not asked for, and must not grow.
    if (pace.active && nowMs - pace.steppedMs >= UNSEEN_STEP_MS << pace.relapses) {
      grow(target, pace, nowMs, "unseen");
    }
    return pace.active;
  }

  /** A larger part of starting targets begins faster, or the load of the rest grew too much. */
  private double smallestShare(TargetId target) {
    ServiceId service = known.get(target);
    double paced = pacedByService.getOrDefault(service, 0);
    return Math.max(SMALLEST_SHARE, paced / targetsByService.getOrDefault(service, 1));
  }

  private void begin(TargetId target, Pace pace, long nowMs) {
    paces.put(target, pace);
    if (!pace.active) {
      pace.active = true;
      pacedByService.merge(known.get(target), 1, Integer::sum);
      pace.service = known.get(target);
    }
    pace.beganMs = nowMs;
    pace.steppedMs = nowMs;
    pace.answers = 0;
  }

  private void restart(TargetId target, Pace pace, String reason) {
    double smallest = smallestShare(target);
    if (smallest >= 1) {
      finish(target, pace, "no_peers");
    } else if (pace.share != smallest) {
      pace.share = smallest;
      steps.add(new PaceStep(target, smallest, reason));
    }
  }

  private void grow(TargetId target, Pace pace, long nowMs, String reason) {
    pace.share = Math.min(1, 2 * Math.max(pace.share, smallestShare(target)));
    pace.steppedMs = nowMs;
    pace.answers = 0;
    if (pace.share >= 1) {
      finish(target, pace, reason);
    } else {
      steps.add(new PaceStep(target, pace.share, reason));
    }
  }

  private void stepBack(TargetId target, Pace pace, long nowMs, String reason) {
    pace.answers = 0;
    boolean again = pace.hasSteppedBack && nowMs - pace.steppedBackMs < MIN_STEP_MS;
    if (again) {
      return;
    }
    pace.hasSteppedBack = true;
    pace.steppedBackMs = nowMs;
    pace.steppedMs = nowMs;
    double smaller = Math.max(smallestShare(target), pace.share / 2);
    if (smaller < pace.share) {
      pace.share = smaller;
      steps.add(new PaceStep(target, smaller, reason));
    }
  }

  private void finish(TargetId target, Pace pace, String reason) {
    end(pace);
    pace.share = 1;
    steps.add(new PaceStep(target, 1, reason));
  }

  private void end(Pace pace) {
    if (pace.active) {
      pace.active = false;
      pacedByService.computeIfPresent(pace.service, (id, count) -> count > 1 ? count - 1 : null);
    }
  }

  /** What is known of one target. */
  private static final class Pace {

    private ServiceId service;
    private boolean active;
    private double share = 1;
    private long beganMs;
    private long steppedMs;
    private long steppedBackMs;
    private boolean hasSteppedBack;
    private long missedMs;
    private boolean hasMissed;
    private int relapses;
    private int answers;

    /** Mean time of answers at the smallest share, in means of the peers; at least 1. */
    private double startTime = 1;

    Pace(long nowMs) {
      this.beganMs = nowMs;
      this.steppedMs = nowMs;
    }
  }
}
