package io.cuminvalve.testkit.target;

import java.util.HashMap;
import java.util.Map;

/** The grants of one run of a target. Not thread-safe: its owner locks. */
final class GrantBook {

  private static final long NONE = -1;

  private final Map<Integer, Long> granted = new HashMap<>();
  private final Map<Integer, Long> highestSeen = new HashMap<>();

  /** Returns the highest token seen of a shard, or -1. */
  long highest(int shard) {
    return highestSeen.getOrDefault(shard, NONE);
  }

  /** Takes a grant unless a higher token was seen, or this one was revoked. */
  boolean grant(int shard, long token) {
    boolean revoked = highest(shard) == token && !isGranted(shard, token);
    if (highest(shard) > token || revoked) {
      return false;
    }
    forceGrant(shard, token);
    return true;
  }

  /** Takes a grant without a check, as a target that checks nothing does. */
  void forceGrant(int shard, long token) {
    granted.put(shard, token);
    highestSeen.merge(shard, token, Math::max);
  }

  void revoke(int shard, long token) {
    highestSeen.merge(shard, token, Math::max);
    granted.computeIfPresent(shard, (key, held) -> held <= token ? null : held);
  }

  boolean isGranted(int shard, long token) {
    return granted.getOrDefault(shard, NONE) == token;
  }

  int size() {
    return granted.size();
  }
}
