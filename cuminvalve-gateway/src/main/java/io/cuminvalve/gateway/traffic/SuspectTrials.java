package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Lets requests through one by one under which several targets have ended, but too few for a
 * quarantine.
 *
 * <p>Copies come in bursts, at many gateways, and all that are sent before the next target ends end
 * there as well. The holder of the term permits one at a time. Without an answer of it one is sent
 * after a while. Safe for use by several threads.
 */
final class SuspectTrials {

  /** When the caller of a request that is held back should come back. */
  static final long RETRY_AFTER_MS = 300;

  /** For how long a permit may be used. */
  static final long PERMIT_MS = 1_000;

  /** After this time without a permit one is sent all the same. */
  static final long ALONE_MS = 3_000;

  private final MillisClock clock;
  private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
  private volatile Consumer<RequestFingerprint> onWanted = fingerprint -> {};

  SuspectTrials(MillisClock clock) {
    this.clock = clock;
  }

  /** Sets who asks the holder for a permit, on any thread. */
  void onWanted(Consumer<RequestFingerprint> listener) {
    onWanted = listener;
  }

  /** Forgets requests that are not suspect any more. */
  synchronized void retain(Set<RequestFingerprint> suspected) {
    suspects.keySet().retainAll(suspected);
  }

  /** The holder lets one be sent. */
  synchronized void permit(RequestFingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.permittedUntilMs = clock.nowMs() + PERMIT_MS;
      suspect.waitsSinceMs = clock.nowMs();
    }
  }

  /** Uses a permit to send one. Returns for how long it is held back, 0 if it may be sent. */
  long take(RequestFingerprint fingerprint) {
    boolean asks;
    synchronized (this) {
      long nowMs = clock.nowMs();
      Suspect suspect = suspects.computeIfAbsent(fingerprint, id -> new Suspect(nowMs));
      boolean alone = nowMs - suspect.waitsSinceMs >= ALONE_MS;
      if (nowMs < suspect.permittedUntilMs || alone) {
        suspect.permittedUntilMs = nowMs;
        suspect.waitsSinceMs = nowMs;
        return 0;
      }
      asks = nowMs >= suspect.asksAgainMs;
      if (asks) {
        suspect.asksAgainMs = nowMs + RETRY_AFTER_MS;
      }
    }
    if (asks) {
      onWanted.accept(fingerprint);
    }
    return RETRY_AFTER_MS;
  }

  /** What this gateway has asked for and got. */
  private static final class Suspect {

    private long waitsSinceMs;
    private long permittedUntilMs;
    private long asksAgainMs;

    Suspect(long nowMs) {
      this.waitsSinceMs = nowMs;
      this.permittedUntilMs = nowMs;
      this.asksAgainMs = nowMs;
    }
  }
}
