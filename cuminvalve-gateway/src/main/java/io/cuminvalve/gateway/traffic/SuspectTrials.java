package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Admits suspect requests one at a time: several targets have ended while running them, but too few
 * for a quarantine.
 *
 * <p>Copies of a suspect request arrive in bursts at many gateways, and each copy sent before the
 * next target crashes may crash one more. The holder of the term therefore permits one at a time.
 * If it does not reply, one is sent after a timeout. Thread-safe.
 */
final class SuspectTrials {

  /** Retry delay for the caller of a request that is held back. */
  static final long RETRY_AFTER_MS = 300;

  /** Validity of a permit. */
  static final long PERMIT_MS = 1_000;

  /** Time without a permit after which one request is sent anyway. */
  static final long PERMIT_TIMEOUT_MS = 3_000;

  private final MillisClock clock;
  private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
  private volatile Consumer<RequestFingerprint> onWanted = fingerprint -> {};

  SuspectTrials(MillisClock clock) {
    this.clock = clock;
  }

  /** Sets the listener that asks the holder for a permit; called on any thread. */
  void onWanted(Consumer<RequestFingerprint> listener) {
    onWanted = listener;
  }

  /** Removes requests that are no longer suspect. */
  synchronized void retain(Set<RequestFingerprint> suspected) {
    suspects.keySet().retainAll(suspected);
  }

  /** Permits one request to be sent, as granted by the holder. */
  synchronized void permit(RequestFingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.permittedUntilMs = clock.nowMs() + PERMIT_MS;
      suspect.waitingSinceMs = clock.nowMs();
    }
  }

  /**
   * Takes a permit to send one request. Returns for how many milliseconds it is held back; 0 if it
   * may be sent.
   */
  long take(RequestFingerprint fingerprint) {
    boolean requestPermit;
    synchronized (this) {
      long nowMs = clock.nowMs();
      Suspect suspect = suspects.computeIfAbsent(fingerprint, id -> new Suspect(nowMs));
      boolean timedOut = nowMs - suspect.waitingSinceMs >= PERMIT_TIMEOUT_MS;
      if (nowMs < suspect.permittedUntilMs || timedOut) {
        suspect.permittedUntilMs = nowMs;
        suspect.waitingSinceMs = nowMs;
        return 0;
      }
      requestPermit = nowMs >= suspect.nextRequestMs;
      if (requestPermit) {
        suspect.nextRequestMs = nowMs + RETRY_AFTER_MS;
      }
    }
    if (requestPermit) {
      onWanted.accept(fingerprint);
    }
    return RETRY_AFTER_MS;
  }

  /** The state of the permits for one request. */
  private static final class Suspect {

    private long waitingSinceMs;
    private long permittedUntilMs;
    private long nextRequestMs;

    Suspect(long nowMs) {
      this.waitingSinceMs = nowMs;
      this.permittedUntilMs = nowMs;
      this.nextRequestMs = nowMs;
    }
  }
}
