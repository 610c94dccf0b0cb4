package io.cuminvalve.core.hotkey;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.LoadReport;
import org.junit.jupiter.api.Test;

class LoadMeterTest {

  private static final CellId CELL = new CellId("claims");
  private static final int SHARDS = 4096;
  private static final long HOT_KEY = (5L << 40) + 17;

  private final LoadAggregator aggregator = new LoadAggregator(SHARDS);

  private static LoadMeter meter(String router) {
    return new LoadMeter(CELL, new RouterId(router), SHARDS, 0);
  }

  /** Records steady load on every shard and ten times as much on one key. */
  private static LoadReport steadyReport(LoadMeter meter) {
    LoadReport report = null;
    for (int second = 1; second <= 100; second++) {
      for (int shard = 0; shard < SHARDS; shard++) {
        meter.record(((long) second << 40) + shard + 4L * SHARDS * shard, shard, 100);
      }
      meter.record(HOT_KEY, 17, 1000);
      report = meter.report(second * 1000L);
    }
    return report;
  }

  @Test
  void reportShowsSteadyLoadPerSecond() {
    LoadReport report = steadyReport(meter("r1"));
    double expected = 100.0 * SHARDS + 1000;
    assertThat(report.totalPerSecond()).isWithin(0.01 * expected).of(expected);
    assertThat(report.keyPerSecond()[0]).isWithin(10).of(1000);
    assertThat(report.shards()).hasLength(LoadMeter.LISTED_SHARDS);
    assertThat(report.shards()[0]).isEqualTo(17);
    assertThat(report.keyHashes()[0]).isEqualTo(HOT_KEY);
  }

  @Test
  void aggregatorSumsRoutersAndDistributesUnlistedLoad() {
    aggregator.onReport(steadyReport(meter("r1")), 1000);
    aggregator.onReport(steadyReport(meter("r2")), 1000);
    double[] loads = aggregator.shardLoads(1000);
    assertThat(loads[17]).isWithin(120).of(2200);
    assertThat(loads[SHARDS - 1]).isWithin(20).of(200);
    assertThat(aggregator.hotShards(1000)).isEqualTo(new int[] {17});
  }

  @Test
  void reportOfLostRouterExpires() {
    aggregator.onReport(steadyReport(meter("r1")), 1000);
    assertThat(aggregator.shardLoads(1001 + LoadAggregator.MAX_AGE_MS)).isEmpty();
  }

  @Test
  void mismatchedReportIsIgnored() {
    int[] beyond = {SHARDS};
    LoadReport report =
        new LoadReport(
            CELL, new RouterId("r1"), 1, beyond, new double[] {1}, new long[0], new double[0]);
    assertThat(aggregator.onReport(report, 0)).isFalse();
    assertThat(aggregator.shardLoads(0)).isEmpty();
  }
}
