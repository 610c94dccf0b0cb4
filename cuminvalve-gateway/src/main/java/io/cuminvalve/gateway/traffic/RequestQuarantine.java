package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tells traffic which requests to send to no target, and finds out which of those under suspicion
 * are answered after all.
 *
 * <p>Set by the control thread, read by all.
 *
 * @since 0.2
 */
public final class RequestQuarantine {

  /** By then a trial is answered, or the end of its target is known. */
  private static final long TRIAL_MS = 5_000;

  private final MillisClock clock;
  private final Map<RequestFingerprint, Long> trialEndsMs = new HashMap<>();
  private final RecentResponses answers = new RecentResponses();
  private final SuspectTrials suspects;
  private volatile Map<RequestFingerprint, Long> untilMs = Map.of();
  private volatile Set<RequestFingerprint> watched = Set.of();
  private volatile Consumer<RequestFingerprint> onAnswered = fingerprint -> {};

  /**
   * Creates a quarantine of no request.
   *
   * @param clock the time; not null
   */
  public RequestQuarantine(MillisClock clock) {
    this.clock = clock;
    this.suspects = new SuspectTrials(clock);
  }

  /**
   * Replaces what is known.
   *
   * @param nextUntilMs until when requests are sent to no target, also if that is over and only a
   *     trial may be sent; milliseconds; not null
   * @param nextWatched requests whose answers matter; not null
   */
  public void install(
      Map<RequestFingerprint, Long> nextUntilMs, Set<RequestFingerprint> nextWatched) {
    synchronized (this) {
      trialEndsMs.keySet().retainAll(nextUntilMs.keySet());
    }
    untilMs = Map.copyOf(nextUntilMs);
    watched = Set.copyOf(nextWatched);
    suspects.retain(watched);
  }

  /**
   * Sets who asks the holder of the term for a permit to send a request that is watched.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onTrialWanted(Consumer<RequestFingerprint> listener) {
    suspects.onWanted(listener);
  }

  /**
   * The holder permits one request that is watched to be sent.
   *
   * @param fingerprint the request's; not null
   */
  public void permitTrial(RequestFingerprint fingerprint) {
    suspects.permit(fingerprint);
  }

  /**
   * Sets who is told of answers to requests that are watched.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onAnswered(Consumer<RequestFingerprint> listener) {
    onAnswered = listener;
  }

  /**
   * Returns when a request was last answered through this gateway.
   *
   * @param fingerprint the request's; not null
   * @return a time of the clock, milliseconds; empty if that is not known
   */
  public OptionalLong lastAnsweredMs(RequestFingerprint fingerprint) {
    return answers.lastMs(fingerprint);
  }

  /**
   * Returns how many requests are in quarantine or on probation.
   *
   * @return at least 0
   */
  public int size() {
    return untilMs.size();
  }

  /**
   * Decides on a request that has just arrived. The first one after a quarantine is let through as
   * a trial; others wait for how it goes. One that is watched is sent when the holder lets it.
   *
   * @return for how long it is sent to no target; milliseconds, 0 if it may be sent
   */
  long admit(RequestIdentity identity) {
    if (watched.isEmpty() && untilMs.isEmpty()) {
      return 0;
    }
    long refusedMs = refusedForMs(identity);
    return refusedMs > 0
        ? refusedMs
        : Math.max(tryOne(identity.content()), tryOne(identity.contentAndCaller()));
  }

  private boolean isSuspect(RequestFingerprint fingerprint) {
    return watched.contains(fingerprint) && !untilMs.containsKey(fingerprint);
  }

  private long tryOne(RequestFingerprint fingerprint) {
    if (isSuspect(fingerprint)) {
      return suspects.take(fingerprint);
    }
    return untilMs.containsKey(fingerprint) ? tryAfterQuarantine(fingerprint) : 0;
  }

  private synchronized long tryAfterQuarantine(RequestFingerprint fingerprint) {
    long leftMs = leftMs(trialEndsMs.get(fingerprint));
    if (leftMs == 0) {
      trialEndsMs.put(fingerprint, clock.nowMs() + TRIAL_MS);
    }
    return leftMs;
  }

  /**
   * Returns for how long a request is sent to no target.
   *
   * @param identity by what it is recognised; not null
   * @return milliseconds; 0 if it may be sent
   */
  public long refusedForMs(RequestIdentity identity) {
    Map<RequestFingerprint, Long> known = untilMs;
    if (known.isEmpty()) {
      return 0;
    }
    return Math.max(
        leftMs(known.get(identity.content())), leftMs(known.get(identity.contentAndCaller())));
  }

  /**
   * Returns for how long a request is sent to no further target.
   *
   * @param identity by what it is recognised; not null
   * @param runs at how many targets it may have run; a trial is not sent to another one
   * @return milliseconds; 0 if it may be sent
   */
  long refusedForMs(RequestIdentity identity, int runs) {
    return runs == 0 ? refusedForMs(identity) : refusedForMsAfterBreak(identity);
  }

  /** The same for one that has just broken off at a target: a trial is not sent to another one. */
  long refusedForMsAfterBreak(RequestIdentity identity) {
    Map<RequestFingerprint, Long> known = untilMs;
    boolean tried =
        known.containsKey(identity.content())
            || known.containsKey(identity.contentAndCaller())
            || isSuspect(identity.content())
            || isSuspect(identity.contentAndCaller());
    return tried ? Math.max(TRIAL_MS, refusedForMs(identity)) : 0;
  }

  private long leftMs(Long endMs) {
    return endMs == null ? 0 : Math.max(0, endMs - clock.nowMs());
  }

  /**
   * A target ran a request and answered it.
   *
   * @param identity by what it is recognised; not null
   */
  public void onAnswer(RequestIdentity identity) {
    long nowMs = clock.nowMs();
    noteAnswer(identity.content(), nowMs);
    noteAnswer(identity.contentAndCaller(), nowMs);
  }

  private void noteAnswer(RequestFingerprint fingerprint, long nowMs) {
    answers.add(fingerprint, nowMs);
    if (watched.contains(fingerprint)) {
      onAnswered.accept(fingerprint);
    }
  }
}
