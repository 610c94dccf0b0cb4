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
 * Holds back requests that are suspected of crashing targets, and detects which of them are
 * answered after all.
 *
 * <p>Updated by the control thread, read by any thread.
 *
 * @since 0.2
 */
public final class RequestQuarantine {

  /** Within this time a trial is answered, or the crash of its target is known. */
  private static final long TRIAL_TIMEOUT_MS = 5_000;

  private final MillisClock clock;
  private final Map<RequestFingerprint, Long> trialEndsMs = new HashMap<>();
  private final RecentResponses responses = new RecentResponses();
  private final SuspectTrials suspects;
  private volatile Map<RequestFingerprint, Long> untilMs = Map.of();
  private volatile Set<RequestFingerprint> watched = Set.of();
  private volatile Consumer<RequestFingerprint> onAnswered = fingerprint -> {};

  /**
   * Creates an empty quarantine.
   *
   * @param clock the time; not null
   */
  public RequestQuarantine(MillisClock clock) {
    this.clock = clock;
    this.suspects = new SuspectTrials(clock);
  }

  /**
   * Replaces the quarantined and the watched requests.
   *
   * @param nextUntilMs when the quarantine of each request ends; includes requests whose quarantine
   *     is over, of which only a trial may be sent; milliseconds; not null
   * @param nextWatched the requests whose responses are reported; not null
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
   * Sets the listener that asks the holder of the term for a permit to send a watched request.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onTrialWanted(Consumer<RequestFingerprint> listener) {
    suspects.onWanted(listener);
  }

  /**
   * Permits one watched request to be sent, as granted by the holder.
   *
   * @param fingerprint the fingerprint of the request; not null
   */
  public void permitTrial(RequestFingerprint fingerprint) {
    suspects.permit(fingerprint);
  }

  /**
   * Sets the listener for responses to watched requests.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onAnswered(Consumer<RequestFingerprint> listener) {
    onAnswered = listener;
  }

  /**
   * Returns when a request was last answered through this gateway.
   *
   * @param fingerprint the fingerprint of the request; not null
   * @return a time of the clock in milliseconds; empty if unknown
   */
  public OptionalLong lastAnsweredMs(RequestFingerprint fingerprint) {
    return responses.lastMs(fingerprint);
  }

  /**
   * Returns the number of requests that are quarantined or only sent as a trial.
   *
   * @return at least 0
   */
  public int size() {
    return untilMs.size();
  }

  /**
   * Decides on a request that has just arrived. After a quarantine the first request is admitted as
   * a trial and others are held back until its result is known. A watched request is admitted with
   * a permit of the holder.
   *
   * @return for how long the request is held back; milliseconds, 0 if it may be sent
   */
  long admit(RequestIdentity identity) {
    if (watched.isEmpty() && untilMs.isEmpty()) {
      return 0;
    }
    long refusedMs = refusedForMs(identity);
    return refusedMs > 0
        ? refusedMs
        : Math.max(admitTrial(identity.content()), admitTrial(identity.contentAndCaller()));
  }

  private boolean isSuspect(RequestFingerprint fingerprint) {
    return watched.contains(fingerprint) && !untilMs.containsKey(fingerprint);
  }

  private long admitTrial(RequestFingerprint fingerprint) {
    if (isSuspect(fingerprint)) {
      return suspects.take(fingerprint);
    }
    return untilMs.containsKey(fingerprint) ? admitTrialAfterQuarantine(fingerprint) : 0;
  }

  private synchronized long admitTrialAfterQuarantine(RequestFingerprint fingerprint) {
    long remainingMs = remainingMs(trialEndsMs.get(fingerprint));
    if (remainingMs == 0) {
      trialEndsMs.put(fingerprint, clock.nowMs() + TRIAL_TIMEOUT_MS);
    }
    return remainingMs;
  }

  /**
   * Returns for how long a request is held back.
   *
   * @param identity the identity of the request; not null
   * @return milliseconds; 0 if it may be sent
   */
  public long refusedForMs(RequestIdentity identity) {
    Map<RequestFingerprint, Long> known = untilMs;
    if (known.isEmpty()) {
      return 0;
    }
    return Math.max(
        remainingMs(known.get(identity.content())),
        remainingMs(known.get(identity.contentAndCaller())));
  }

  /**
   * Returns for how long a request is held back, also considering its earlier attempts.
   *
   * @param identity the identity of the request; not null
   * @param runs the number of targets on which it may have run; a trial is not sent to another one
   * @return milliseconds; 0 if it may be sent
   */
  long refusedForMs(RequestIdentity identity, int runs) {
    return runs == 0 ? refusedForMs(identity) : refusedForMsAfterFailure(identity);
  }

  /**
   * Returns for how long a request is held back after its connection to a target broke. A trial is
   * not sent to another target.
   */
  long refusedForMsAfterFailure(RequestIdentity identity) {
    Map<RequestFingerprint, Long> known = untilMs;
    boolean tried =
        known.containsKey(identity.content())
            || known.containsKey(identity.contentAndCaller())
            || isSuspect(identity.content())
            || isSuspect(identity.contentAndCaller());
    return tried ? Math.max(TRIAL_TIMEOUT_MS, refusedForMs(identity)) : 0;
  }

  private long remainingMs(Long endMs) {
    return endMs == null ? 0 : Math.max(0, endMs - clock.nowMs());
  }

  /**
   * Records that a target ran and answered a request.
   *
   * @param identity the identity of the request; not null
   */
  public void onAnswer(RequestIdentity identity) {
    long nowMs = clock.nowMs();
    recordResponse(identity.content(), nowMs);
    recordResponse(identity.contentAndCaller(), nowMs);
  }

  private void recordResponse(RequestFingerprint fingerprint, long nowMs) {
    responses.add(fingerprint, nowMs);
    if (watched.contains(fingerprint)) {
      onAnswered.accept(fingerprint);
    }
  }
}
