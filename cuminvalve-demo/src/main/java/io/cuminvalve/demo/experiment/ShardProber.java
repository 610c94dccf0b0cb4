package io.cuminvalve.demo.experiment;

import io.cuminvalve.core.table.KeyHasher;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/**
 * Asks for one key of each shard again and again, whether or not earlier requests were answered.
 */
final class ShardProber {

  private static final String TIMEOUT_HEADER = "Cuminvalve-Timeout-Ms";
  private static final long TIMEOUT_MS = 4_000;

  /** At most 400 probes a second. */
  private static final long MIN_STEP_NS = 2_500_000;

  private final HttpClient client;
  private final Supplier<List<String>> routers;
  private final Map<Integer, String> keys;
  private final long intervalMs;

  ShardProber(HttpClient client, Supplier<List<String>> routers, int shardCount, long intervalMs) {
    this.client = client;
    this.routers = routers;
    this.keys = keysOf(shardCount);
    this.intervalMs = intervalMs;
  }

  private static Map<Integer, String> keysOf(int shardCount) {
    Map<Integer, String> keys = new HashMap<>();
    for (int i = 0; keys.size() < shardCount; i++) {
      String key = "probe" + i;
      keys.putIfAbsent(KeyHasher.shardOf(key, shardCount), key);
    }
    return keys;
  }

  /** Probes for a while, or until the meter has seen enough. */
  void probe(Set<Integer> shards, RecoveryMeter meter, long durationMs)
      throws InterruptedException {
    List<Integer> order = new ArrayList<>(shards);
    long stepNs = Math.max(MIN_STEP_NS, TimeUnit.MILLISECONDS.toNanos(intervalMs) / order.size());
    long startNs = System.nanoTime();
    long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(durationMs);
    long dueNs = startNs;
    for (int i = 0; dueNs < endNs && !meter.isComplete(); i++) {
      long leftNs = dueNs - System.nanoTime();
      if (leftNs > 0) {
        TimeUnit.NANOSECONDS.sleep(leftNs);
      }
      send(order.get(i % order.size()), i / order.size() + i % order.size(), meter);
      dueNs += stepNs;
    }
  }

  private void send(int shard, int turn, RecoveryMeter meter) {
    List<String> addresses = routers.get();
    String router = addresses.get(turn % addresses.size());
    long sentNs = System.nanoTime();
    client
        .newRequest("http://" + router + "/claims/" + keys.get(shard))
        .headers(headers -> headers.put(TIMEOUT_HEADER, Long.toString(TIMEOUT_MS)))
        .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .send(result -> onEnd(result, shard, sentNs, meter));
  }

  private static void onEnd(Result result, int shard, long sentNs, RecoveryMeter meter) {
    boolean served = result.isSucceeded() && result.getResponse().getStatus() == 200;
    meter.onEnd(shard, sentNs, System.nanoTime(), served);
  }
}
