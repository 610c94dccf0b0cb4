package io.cuminvalve.core.reach;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks which targets this gateway can reach, from its own attempts and probes.
 *
 * <p>A target that refuses a connection may have ended, so one target says little about the path.
 * If connections to several targets fail and none succeeds meanwhile, the path counts as lost as a
 * whole, and every target as unreachable until probes connect again. Requests then need not wait
 * for a connection to each of them.
 *
 * <p>Answers do not prove that the path is there: they may arrive over old connections while new
 * ones fail. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetReach {

  /** Failures of connections that are further apart have different causes. */
  private static final long WINDOW_MS = 2_000;

  /** Targets to which connections have to fail before the path counts as lost. */
  private static final int TARGETS_FAILED = 3;

  private static final int MIN_TARGETS_FAILED = 2;

  /**
   * The same if targets still answer, perhaps over old connections: so many have seldom ended at a
   * time without one among them that accepts a connection.
   */
  private static final int TARGETS_FAILED_BESIDE_ANSWERS = 8;

  /** A busy gateway gets an answer within this time. */
  private static final long ANSWER_EXPECTED_MS = 150;

  /** While requests wait, no answer of any target for this long is a reason to probe. */
  private static final long SILENCE_MS = 300;

  /** Shortest interval between probes because of silence; targets may just be slow. */
  private static final long SILENCE_PROBE_INTERVAL_MS = 1_000;

  /** If another target answers within this time, a single failed connection is no concern. */
  private static final long WITNESS_DELAY_MS = 50;

  private static final long PROBE_INTERVAL_MS = 250;

  /** Interval between probes once the first one has connected again. */
  private static final long RETURN_PROBE_INTERVAL_MS = 50;

  /** Probes in progress at a time. */
  private static final int MAX_PROBING = 2;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Map<TargetId, TargetPath> paths = new HashMap<>();
  private final PathReturn pathReturn = new PathReturn();
  private OptionalLong lostSinceMs = OptionalLong.empty();
  private long answeredMs = NEVER_MS;
  private long connectedMs = NEVER_MS;
  private long troubleMs = NEVER_MS;
  private int waiting;
  private long batchMs = NEVER_MS;
  private long silenceProbeMs = NEVER_MS;
  private long witnessProbeMs = NEVER_MS;

  /**
   * Replaces the known targets.
   *
   * @param targets all registered targets; not null
   */
  public void setTargets(Collection<TargetId> targets) {
    paths.keySet().retainAll(targets);
    targets.forEach(target -> paths.computeIfAbsent(target, any -> new TargetPath()));
  }

  /**
   * Records that an attempt to a target has begun.
   *
   * @param target the target; not null
   * @param nowMs the current time; milliseconds
   */
  public void onSent(TargetId target, long nowMs) {
    waiting++;
    find(target).ifPresent(path -> path.onSent(nowMs));
  }

  /**
   * Records that an attempt to a target has ended, in whatever way.
   *
   * @param target the target; not null
   */
  public void onEnded(TargetId target) {
    waiting = Math.max(0, waiting - 1);
    find(target).ifPresent(TargetPath::onEnded);
  }

  /**
   * Records that an answer of a target has arrived.
   *
   * @param target the target; not null
   * @param nowMs the current time; milliseconds
   */
  public void onAnswer(TargetId target, long nowMs) {
    answeredMs = Math.max(answeredMs, nowMs);
    find(target).ifPresent(path -> path.onAnswer(nowMs));
  }

  /**
   * Asks for a probe of a target, since a connection to it broke or an order was not sent.
   *
   * @param target the target; not null
   * @param nowMs the current time; milliseconds
   */
  public void onDoubt(TargetId target, long nowMs) {
    troubleMs = nowMs;
    find(target).ifPresent(TargetPath::onDoubt);
  }

  /**
   * Records that a connection to a target could not be opened.
   *
   * @param target the target; not null
   * @param failure how it failed; not null
   * @param nowMs the current time; milliseconds
   */
  public void onConnectFailed(TargetId target, ConnectFailure failure, long nowMs) {
    troubleMs = nowMs;
    find(target)
        .ifPresent(
            path -> {
              path.onFailed(failure, nowMs);
              pathReturn.onFailed(failure);
              checkLost(nowMs);
            });
  }

  /**
   * Records that a probe has connected to a target.
   *
   * @param target the target; not null
   * @param nowMs the current time; milliseconds
   */
  public void onProbeConnected(TargetId target, long nowMs) {
    find(target).ifPresent(TargetPath::onProbeEnded);
    connectedMs = Math.max(connectedMs, nowMs);
    find(target).ifPresent(path -> path.onConnected(nowMs));
    if (isLost()) {
      pathReturn.onReached(target, nowMs);
      checkReturned(nowMs);
    }
  }

  /**
   * Records that a probe has not connected to a target.
   *
   * @param target the target; not null
   * @param failure how it failed; not null
   * @param nowMs the current time; milliseconds
   */
  public void onProbeFailed(TargetId target, ConnectFailure failure, long nowMs) {
    find(target).ifPresent(TargetPath::onProbeEnded);
    onConnectFailed(target, failure, nowMs);
  }

  /**
   * Returns whether the path to the targets is lost as a whole.
   *
   * @return false as long as the failures may be those of single targets
   */
  public boolean isLost() {
    return lostSinceMs.isPresent();
  }

  /**
   * Returns since when the path is lost.
   *
   * @return milliseconds; empty if it is not
   */
  public OptionalLong lostSinceMs() {
    return lostSinceMs;
  }

  /**
   * Returns whether a new connection to a target is expected to succeed.
   *
   * @param target the target; not null
   * @return false for all targets while the path is lost
   */
  public boolean isReachable(TargetId target) {
    return !isLost() && find(target).filter(TargetPath::timesOut).isEmpty();
  }

  /**
   * Returns whether a target has answered lately over connections opened before.
   *
   * @param target the target; not null
   * @param nowMs the current time; milliseconds
   * @return false if it has not answered since a connection to it failed or the path was lost
   */
  public boolean isAnswering(TargetId target, long nowMs) {
    return find(target)
        .filter(path -> path.answeredMs() > path.failedMs() - SILENCE_MS)
        .filter(path -> nowMs - path.answeredMs() < WINDOW_MS)
        .filter(path -> path.answeredMs() > lostSinceMs.orElse(NEVER_MS))
        .isPresent();
  }

  /**
   * Returns whether failed connections may be due to the path and not to the targets.
   *
   * @param nowMs the current time; milliseconds
   * @return true if the path is lost, or connections to several targets have failed lately
   */
  public boolean isDoubtful(long nowMs) {
    return isLost() || failedTogether(nowMs).size() >= MIN_TARGETS_FAILED;
  }

  /**
   * Returns the number of known targets that are unreachable.
   *
   * @return at least 0
   */
  public int unreachableCount() {
    return (int) paths.keySet().stream().filter(target -> !isReachable(target)).count();
  }

  /**
   * Returns the number of known targets.
   *
   * @return at least 0
   */
  public int targetCount() {
    return paths.size();
  }

  /**
   * Returns when probes may be due at the earliest, unless something is recorded before.
   *
   * @param nowMs the current time; milliseconds
   * @return milliseconds, perhaps in the past; empty if none will be
   */
  public OptionalLong nextCheckMs(long nowMs) {
    if (isLost() || nowMs - troubleMs <= WINDOW_MS) {
      return OptionalLong.of(nowMs);
    }
    long silentMs = Math.max(answeredMs, connectedMs) + SILENCE_MS;
    return waiting > 0 ? OptionalLong.of(silentMs) : OptionalLong.empty();
  }

  /**
   * Returns the targets to probe now, and counts them as being probed.
   *
   * @param nowMs the current time; milliseconds
   * @return few targets; never null
   */
  public List<TargetId> takeProbes(long nowMs) {
    boolean silent = waiting > 0 && nowMs - Math.max(answeredMs, connectedMs) >= SILENCE_MS;
    if (!isLost() && !silent && nowMs - troubleMs > WINDOW_MS) {
      return List.of();
    }
    checkLost(nowMs);
    Set<TargetId> chosen = new HashSet<>();
    int free = MAX_PROBING - (int) paths.values().stream().filter(TargetPath::isProbing).count();
    if (isLost()) {
      chooseForReturn(nowMs, free, chosen);
    } else {
      boolean several = failedTogether(nowMs).size() >= MIN_TARGETS_FAILED;
      chooseDoubted(nowMs, several ? 0 : Math.min(1, free), chosen);
      chooseWitness(nowMs, free, chosen);
      chooseDoubted(nowMs, free, chosen);
      chooseSilent(nowMs, free, chosen);
    }
    chosen.forEach(target -> paths.get(target).onProbeStarted(nowMs));
    return new ArrayList<>(chosen);
  }

  private void chooseForReturn(long nowMs, int free, Set<TargetId> chosen) {
    long intervalMs = pathReturn.hasBegun() ? RETURN_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
    if (nowMs - batchMs < intervalMs) {
      return;
    }
    batchMs = nowMs;
    choose(path -> true, Comparator.comparingLong(TargetPath::probedMs), free, chosen);
  }

  /** Other targets tell failures of single targets from a lost path. */
  private void chooseWitness(long nowMs, int free, Set<TargetId> chosen) {
    List<TargetPath> failed = failedTogether(nowMs);
    if (failed.isEmpty() || nowMs - witnessProbeMs < WITNESS_DELAY_MS) {
      return;
    }
    long firstMs = firstFailureMs(failed);
    boolean alone = failed.size() < MIN_TARGETS_FAILED;
    if (alone && (answeredMs > firstMs || nowMs - firstMs < WITNESS_DELAY_MS)) {
      return;
    }
    Comparator<TargetPath> lastAnsweredFirst =
        Comparator.comparingLong(TargetPath::answeredMs).reversed();
    choose(path -> !failed.contains(path), lastAnsweredFirst, free, chosen);
    witnessProbeMs = nowMs;
  }

  private void chooseDoubted(long nowMs, int free, Set<TargetId> chosen) {
    Predicate<TargetPath> due =
        path ->
            path.needsConfirmation()
                || ((path.isDoubted() || path.timesOut())
                    && nowMs - path.probedMs() >= PROBE_INTERVAL_MS * path.probeIntervals());
    choose(due, Comparator.comparingLong(TargetPath::probedMs), free, chosen);
  }

  private void chooseSilent(long nowMs, int free, Set<TargetId> chosen) {
    long lifeMs = Math.max(answeredMs, connectedMs);
    if (nowMs - lifeMs < SILENCE_MS || nowMs - silenceProbeMs < SILENCE_PROBE_INTERVAL_MS) {
      return;
    }
    int before = chosen.size();
    choose(
        path -> path.isWaitingSince(nowMs - SILENCE_MS),
        Comparator.comparingLong(TargetPath::probedMs),
        free,
        chosen);
    silenceProbeMs = chosen.size() > before ? nowMs : silenceProbeMs;
  }

  private void choose(
      Predicate<TargetPath> due, Comparator<TargetPath> order, int limit, Set<TargetId> chosen) {
    paths.entrySet().stream()
        .filter(entry -> !entry.getValue().isProbing() && !chosen.contains(entry.getKey()))
        .filter(entry -> due.test(entry.getValue()))
        .sorted(
            Map.Entry.<TargetId, TargetPath>comparingByValue(order)
                .thenComparing(Map.Entry.comparingByKey()))
        .limit(Math.max(0, limit - chosen.size()))
        .map(Map.Entry::getKey)
        .forEach(chosen::add);
  }

  /** Returns the targets to which connections failed lately, with none that succeeded since. */
  private List<TargetPath> failedTogether(long nowMs) {
    return paths.values().stream()
        .filter(path -> path.failedMs() > connectedMs && nowMs - path.failedMs() <= WINDOW_MS)
        .toList();
  }

  private void checkLost(long nowMs) {
    if (isLost()) {
      return;
    }
    List<TargetPath> failed = failedTogether(nowMs);
    if (failed.size() < MIN_TARGETS_FAILED) {
      return;
    }
    long firstMs = firstFailureMs(failed);
    boolean answers = answeredMs > firstMs;
    boolean tooEarly = nowMs - firstMs < ANSWER_EXPECTED_MS;
    if (failed.size() >= failuresNeeded(answers) && (answers || !tooEarly)) {
      lostSinceMs = OptionalLong.of(nowMs);
      pathReturn.onLost(nowMs);
      batchMs = NEVER_MS;
    }
  }

  private int failuresNeeded(boolean answers) {
    int half = (paths.size() + 1) / 2;
    int wanted =
        answers
            ? Math.min(TARGETS_FAILED_BESIDE_ANSWERS, Math.max(TARGETS_FAILED, half))
            : TARGETS_FAILED;
    return Math.max(MIN_TARGETS_FAILED, Math.min(wanted, paths.size()));
  }

  private static long firstFailureMs(List<TargetPath> failed) {
    return failed.stream().mapToLong(TargetPath::failedMs).min().orElseThrow();
  }

  private void checkReturned(long nowMs) {
    if (pathReturn.isComplete(paths.size(), nowMs)) {
      pathReturn.onReturned(nowMs);
      lostSinceMs = OptionalLong.empty();
      paths.values().forEach(TargetPath::forgetTimeouts);
    }
  }

  private Optional<TargetPath> find(TargetId target) {
    return Optional.ofNullable(paths.get(target));
  }
}
