package io.cuminvalve.core.hotkey;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.LoadReport;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;

/**
 * Measures the load of one cell on one router.
 *
 * <p>{@link #record} may be called by any thread and does not allocate; {@link #report} must be
 * called by the control thread only. Keys are striped over several sketches to reduce lock
 * contention.
 *
 * @since 0.1
 */
public final class LoadMeter {

  /** Number of keys monitored by each sketch. */
  public static final int MONITORED_KEYS = 512;

  /** Maximum number of keys listed in a report. */
  public static final int LISTED_KEYS = 64;

  /**
   * Maximum number of shards listed in a report; the load of the others is included in the total
   * only.
   */
  public static final int LISTED_SHARDS = 256;

  /** Half-life of the load, in milliseconds. */
  public static final long HALF_LIFE_MS = 5_000;

  private static final int STRIPES = 4;

  private final CellId cell;
  private final RouterId router;
  private final AtomicLongArray recorded;
  private final double[] decayed;
  private final HotKeySketch[] sketches;
  private long reportedAtMs;

  /**
   * Creates a meter.
   *
   * @param cell the cell; not null
   * @param router the router; not null
   * @param shardCount number of shards of the cell
   * @param nowMs the current time
   */
  public LoadMeter(CellId cell, RouterId router, int shardCount, long nowMs) {
    this.cell = cell;
    this.router = router;
    this.reportedAtMs = nowMs;
    recorded = new AtomicLongArray(shardCount);
    decayed = new double[shardCount];
    sketches = new HotKeySketch[STRIPES];
    Arrays.setAll(sketches, i -> new HotKeySketch(MONITORED_KEYS, HALF_LIFE_MS, nowMs));
  }

  /**
   * Adds load.
   *
   * @param keyHash the hash of the request's key
   * @param shard the shard of the key
   * @param load the load in any consistent unit, such as microseconds of slot time at a target; at
   *     least 0
   */
  public void record(long keyHash, int shard, long load) {
    recorded.addAndGet(shard, load);
    HotKeySketch sketch = sketches[(int) (keyHash >>> 56) & (STRIPES - 1)];
    synchronized (sketch) {
      sketch.record(keyHash, load);
    }
  }

  /**
   * Reports the load and starts the next interval.
   *
   * @param nowMs the current time; must not decrease
   * @return the report; never null
   */
  public LoadReport report(long nowMs) {
    double decay = Math.pow(2, -(double) (nowMs - reportedAtMs) / HALF_LIFE_MS);
    // Treats the load of the interval as if it had been recorded at its midpoint.
    double halfDecay = Math.sqrt(decay);
    decayShards(decay, halfDecay);
    reportedAtMs = nowMs;
    int[] shards = hottestShards();
    double perSecond = Math.log(2) * 1000 / HALF_LIFE_MS;
    double total = Arrays.stream(decayed).sum() * perSecond;
    double[] loads = Arrays.stream(shards).mapToDouble(s -> decayed[s] * perSecond).toArray();
    List<HotKey> keys = hottestKeys(nowMs);
    double keyPerSecond = perSecond / halfDecay;
    return new LoadReport(
        cell,
        router,
        total,
        shards,
        loads,
        keys.stream().mapToLong(HotKey::keyHash).toArray(),
        keys.stream().mapToDouble(key -> key.certainLoad() * keyPerSecond).toArray());
  }

  private void decayShards(double decay, double halfDecay) {
    for (int shard = 0; shard < decayed.length; shard++) {
      decayed[shard] = decayed[shard] * decay + recorded.getAndSet(shard, 0) * halfDecay;
    }
  }

  private int[] hottestShards() {
    IntStream shards = IntStream.range(0, decayed.length).filter(shard -> decayed[shard] > 0);
    if (decayed.length <= LISTED_SHARDS) {
      return shards.toArray();
    }
    return shards
        .boxed()
        .sorted(Comparator.comparingDouble((Integer shard) -> -decayed[shard]))
        .limit(LISTED_SHARDS)
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private List<HotKey> hottestKeys(long nowMs) {
    HotKeySketch merged = new HotKeySketch(MONITORED_KEYS * STRIPES, HALF_LIFE_MS, nowMs);
    for (HotKeySketch sketch : sketches) {
      synchronized (sketch) {
        sketch.advance(nowMs);
        merged.merge(sketch);
      }
    }
    return merged.hottest(LISTED_KEYS);
  }
}
