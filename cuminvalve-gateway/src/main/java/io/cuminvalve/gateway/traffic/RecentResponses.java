package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * A fixed-size table of the times at which requests were last answered.
 *
 * <p>Several fingerprints share a bucket, which keeps the newest. A request that many callers send
 * is therefore found; one that was sent once, a while ago, may have been overwritten. Thread-safe.
 */
final class RecentResponses {

  /** A power of two; both arrays together take 64 KB. */
  private static final int BUCKETS = 4_096;

  private static final long NEVER = Long.MIN_VALUE;

  private final long[] fingerprints = new long[BUCKETS];
  private final long[] answeredMs = new long[BUCKETS];

  RecentResponses() {
    Arrays.fill(answeredMs, NEVER);
  }

  synchronized void add(RequestFingerprint fingerprint, long atMs) {
    int bucket = bucketOf(fingerprint);
    fingerprints[bucket] = fingerprint.value();
    answeredMs[bucket] = atMs;
  }

  /** Returns when a request was last answered, in milliseconds of the clock; empty if unknown. */
  synchronized OptionalLong lastMs(RequestFingerprint fingerprint) {
    int bucket = bucketOf(fingerprint);
    boolean known = answeredMs[bucket] != NEVER && fingerprints[bucket] == fingerprint.value();
    return known ? OptionalLong.of(answeredMs[bucket]) : OptionalLong.empty();
  }

  private static int bucketOf(RequestFingerprint fingerprint) {
    return (int) fingerprint.value() & (BUCKETS - 1);
  }
}
