package io.cuminvalve.core.hotkey;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class HotKeySketchTest {

  private static final int HOT = 50;

  private final Random random = new Random(7);
  private final HotKeySketch sketch = new HotKeySketch(200, 1000, 0);

  /** Sends half of the requests to the hot keys and the others to unique keys. */
  private void recordMix(HotKeySketch into, long firstHot, int requests) {
    for (int i = 0; i < requests; i++) {
      boolean isHot = random.nextBoolean();
      into.record(isHot ? hash(firstHot + random.nextInt(HOT)) : random.nextLong(), 1);
    }
  }

  private static long hash(long key) {
    return key * 0x9e3779b97f4a7c15L;
  }

  private static long countHot(List<HotKey> found, long firstHot) {
    List<Long> hashes = found.stream().map(HotKey::keyHash).collect(Collectors.toList());
    return LongStream.range(firstHot, firstHot + HOT)
        .filter(key -> hashes.contains(hash(key)))
        .count();
  }

  @Test
  void findsHotKeysAmongManyOthers() {
    recordMix(sketch, 1, 100_000);
    assertThat(countHot(sketch.hottest(HOT), 1)).isEqualTo(HOT);
  }

  @Test
  void followsHotKeysThatChange() {
    recordMix(sketch, 1, 100_000);
    for (long nowMs = 1000; nowMs <= 8000; nowMs += 1000) {
      sketch.advance(nowMs);
      recordMix(sketch, 1000, 20_000);
    }
    assertThat(countHot(sketch.hottest(HOT), 1000)).isEqualTo(HOT);
  }

  @Test
  void estimateIsNeverTooLowAndErrorBoundsOverestimate() {
    HotKeySketch small = new HotKeySketch(20, 1000, 0);
    Map<Long, Integer> truth = new HashMap<>();
    for (int i = 0; i < 50_000; i++) {
      long key = hash((long) Math.abs(random.nextGaussian() * 100));
      truth.merge(key, 1, Integer::sum);
      small.record(key, 1);
    }
    List<HotKey> found = small.hottest(20);
    assertThat(found).hasSize(20);
    assertThat(found.stream().map(HotKey::keyHash).distinct().count()).isEqualTo(20);
    for (HotKey key : found) {
      int exact = truth.get(key.keyHash());
      assertThat(key.load()).isAtLeast((double) exact);
      assertThat(key.load() - key.error()).isAtMost((double) exact);
    }
  }

  @Test
  void loadHalvesOverOneHalfLifeAndSurvivesRescaling() {
    sketch.record(42, 8);
    sketch.advance(1000);
    assertThat(sketch.hottest(1).get(0).load()).isWithin(1e-9).of(4);
    sketch.advance(41_000);
    sketch.record(43, 8);
    sketch.advance(42_000);
    assertThat(sketch.hottest(1).get(0).keyHash()).isEqualTo(43);
    assertThat(sketch.hottest(1).get(0).load()).isWithin(1e-9).of(4);
  }

  @Test
  void mergeAddsLoadsAtTheSameTime() {
    HotKeySketch other = new HotKeySketch(200, 1000, 0);
    recordMix(sketch, 1, 50_000);
    recordMix(other, 1, 50_000);
    double alone = sketch.hottest(1).get(0).load();
    sketch.merge(other);
    assertThat(countHot(sketch.hottest(HOT), 1)).isEqualTo(HOT);
    assertThat(sketch.hottest(1).get(0).load()).isGreaterThan(1.5 * alone);
  }
}
