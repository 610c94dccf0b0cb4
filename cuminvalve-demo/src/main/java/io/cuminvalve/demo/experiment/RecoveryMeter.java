package io.cuminvalve.demo.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Times how long shards are not served around a fault.
 *
 * <p>Where a fault takes the owner away, that is the time from the fault to the end of the first
 * request that was sent after it and served. Otherwise it is the longest time, over the whole
 * trial, from the sending of a request to the end of the first served request of the shard that was
 * sent no earlier. Thread-safe.
 */
final class RecoveryMeter {

  private static final double NS_PER_MS = 1e6;

  private record Probe(long sentNs, long completedNs, boolean served) {}

  private final Map<Integer, List<Probe>> probes = new HashMap<>();
  private final boolean losesOwner;
  private long faultNs = Long.MAX_VALUE;

  RecoveryMeter(Set<Integer> shards, boolean losesOwner) {
    this.losesOwner = losesOwner;
    shards.forEach(shard -> probes.put(shard, new ArrayList<>()));
  }

  synchronized void onFault(long nowNs) {
    faultNs = nowNs;
  }

  synchronized void onEnd(int shard, long sentNs, long completedNs, boolean served) {
    if (sentNs >= faultNs) {
      probes.get(shard).add(new Probe(sentNs, completedNs, served));
    }
  }

  /** Tells whether nothing is left to be seen. */
  synchronized boolean isComplete() {
    return losesOwner && probes.values().stream().allMatch(RecoveryMeter::isServed);
  }

  private static boolean isServed(List<Probe> ofShard) {
    return ofShard.stream().anyMatch(Probe::served);
  }

  /** Returns how many shards were not served at all after the fault. */
  synchronized int unserved() {
    return (int) probes.values().stream().filter(ofShard -> !isServed(ofShard)).count();
  }

  /** Returns one time for each shard that was served, in milliseconds. */
  synchronized List<Double> timesMs() {
    List<Double> times = new ArrayList<>();
    for (List<Probe> ofShard : probes.values()) {
      if (isServed(ofShard)) {
        times.add((losesOwner ? recoveryNs(ofShard) : longestWaitNs(ofShard)) / NS_PER_MS);
      }
    }
    return times;
  }

  private long recoveryNs(List<Probe> ofShard) {
    return servedNs(ofShard, faultNs) - faultNs;
  }

  private static long longestWaitNs(List<Probe> ofShard) {
    return ofShard.stream()
        .mapToLong(probe -> servedNs(ofShard, probe.sentNs()) - probe.sentNs())
        .max()
        .orElse(0);
  }

  /**
   * When the first request sent at or after a time, and served, ended; the last end if none was.
   */
  private static long servedNs(List<Probe> ofShard, long fromNs) {
    return ofShard.stream()
        .filter(probe -> probe.served() && probe.sentNs() >= fromNs)
        .mapToLong(Probe::completedNs)
        .min()
        .orElseGet(() -> ofShard.stream().mapToLong(Probe::completedNs).max().orElse(fromNs));
  }
}
