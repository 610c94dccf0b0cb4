package io.cuminvalve.core.hotkey;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.LoadReport;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Aggregates the loads reported by routers, for the planner.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class LoadAggregator {

  /** Maximum age of a report before it is ignored; milliseconds. */
  public static final long MAX_AGE_MS = 30_000;

  /** A shard is hot if the load of one of its keys exceeds the mean shard load by this factor. */
  private static final double HOT_KEY_FACTOR = 2;

  private final int shardCount;
  private final Map<RouterId, Received> latest = new LinkedHashMap<>();

  /**
   * Creates an aggregator.
   *
   * @param shardCount number of shards of the cell; a power of two
   */
  public LoadAggregator(int shardCount) {
    this.shardCount = shardCount;
  }

  /**
   * Stores a report, replacing the previous one of the same router.
   *
   * @param report the report; not null
   * @param nowMs the current time
   * @return false if the report was ignored because it does not match the cell
   */
  public boolean onReport(LoadReport report, long nowMs) {
    if (!matchesCell(report)) {
      return false;
    }
    latest.put(report.router(), new Received(report, nowMs));
    return true;
  }

  private boolean matchesCell(LoadReport report) {
    return report.shards().length == report.shardPerSecond().length
        && report.keyHashes().length == report.keyPerSecond().length
        && Arrays.stream(report.shards()).allMatch(shard -> shard >= 0 && shard < shardCount);
  }

  /**
   * Returns the load per shard.
   *
   * @param nowMs the current time
   * @return one load per shard; empty if no recent report contains any load
   */
  public double[] shardLoads(long nowMs) {
    removeExpired(nowMs);
    double[] loads = new double[shardCount];
    for (Received received : latest.values()) {
      addTo(loads, received.report);
    }
    return Arrays.stream(loads).sum() > 0 ? loads : new double[0];
  }

  /**
   * Adds the listed loads of a report, and distributes the remainder of its total evenly over the
   * unlisted shards.
   */
  private void addTo(double[] loads, LoadReport report) {
    int[] shards = report.shards();
    double listed = 0;
    for (int i = 0; i < shards.length; i++) {
      loads[shards[i]] += report.shardPerSecond()[i];
      listed += report.shardPerSecond()[i];
    }
    if (shards.length == shardCount) {
      return;
    }
    double loadPerUnlistedShard =
        Math.max(0, report.totalPerSecond() - listed) / (shardCount - shards.length);
    for (int shard = 0; shard < shardCount; shard++) {
      loads[shard] += loadPerUnlistedShard;
    }
    for (int shard : shards) {
      loads[shard] -= loadPerUnlistedShard;
    }
  }

  /**
   * Returns the keys with the highest total load over all routers.
   *
   * @param limit maximum number of keys
   * @param nowMs the current time
   * @return the keys in descending order of load; never null
   */
  public List<HotKey> hottestKeys(int limit, long nowMs) {
    removeExpired(nowMs);
    Map<Long, Double> sums = new HashMap<>();
    for (Received received : latest.values()) {
      long[] hashes = received.report.keyHashes();
      for (int i = 0; i < hashes.length; i++) {
        sums.merge(hashes[i], received.report.keyPerSecond()[i], Double::sum);
      }
    }
    return sums.entrySet().stream()
        .sorted(Map.Entry.<Long, Double>comparingByValue().reversed())
        .limit(limit)
        .map(entry -> new HotKey(entry.getKey(), entry.getValue(), 0))
        .toList();
  }

  /**
   * Returns the shards that contain a hot key.
   *
   * @param nowMs the current time
   * @return in ascending order; never null
   */
  public int[] hotShards(long nowMs) {
    double total = Arrays.stream(shardLoads(nowMs)).sum();
    double limit = HOT_KEY_FACTOR * total / shardCount;
    return hottestKeys(LoadMeter.MONITORED_KEYS, nowMs).stream()
        .filter(key -> key.load() > limit)
        .mapToInt(key -> (int) key.keyHash() & (shardCount - 1))
        .distinct()
        .sorted()
        .toArray();
  }

  private void removeExpired(long nowMs) {
    latest.values().removeIf(received -> nowMs - received.atMs > MAX_AGE_MS);
  }

  private record Received(LoadReport report, long atMs) {}
}
