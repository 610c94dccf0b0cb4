package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * When requests were last answered, as far as few bytes can tell.
 *
 * <p>Each request has one place, which others share: the newest stays. A request that many callers
 * make is therefore found, one that came once a while ago perhaps not. Safe for use by several
 * threads.
 */
final class RecentResponses {

  /** A power of two; 64 KB. */
  private static final int PLACES = 4_096;

  private static final long NEVER = Long.MIN_VALUE;

  private final long[] fingerprints = new long[PLACES];
  private final long[] answeredMs = new long[PLACES];

  RecentResponses() {
    Arrays.fill(answeredMs, NEVER);
  }

  synchronized void add(RequestFingerprint fingerprint, long atMs) {
    int place = placeOf(fingerprint);
    fingerprints[place] = fingerprint.value();
    answeredMs[place] = atMs;
  }

  /** Returns when a request was answered last, a time of the clock; empty if that is not known. */
  synchronized OptionalLong lastMs(RequestFingerprint fingerprint) {
    int place = placeOf(fingerprint);
    boolean known = answeredMs[place] != NEVER && fingerprints[place] == fingerprint.value();
    return known ? OptionalLong.of(answeredMs[place]) : OptionalLong.empty();
  }

  private static int placeOf(RequestFingerprint fingerprint) {
    return (int) fingerprint.value() & (PLACES - 1);
  }
}
