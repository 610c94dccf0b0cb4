package io.cuminvalve.core.balance;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EvacuationPaceTest {

  private static final int RANGES = 100;
  private static final int KEYS_PER_RANGE = 100;

  private final KeyLoads loads = new KeyLoads(2_000, 0);
  private final EvacuationPace pace = new EvacuationPace();

  private static KeyRange range(int number) {
    return new KeyRange(number * KEYS_PER_RANGE, (number + 1) * KEYS_PER_RANGE - 1);
  }

  @Test
  void theBusiestRangesMoveFirst() {
    loads.add(range(70).first(), 500);
    List<KeyRange> remaining = new ArrayList<>();
    for (int i = 0; i < RANGES; i++) {
      remaining.add(range(i));
    }
    List<KeyRange> due = pace.due(remaining, loads, 0);
    assertThat(due.get(0)).isEqualTo(range(70));
    assertThat(due.size()).isLessThan(RANGES / 10);
  }

  /** However rarely it is asked, all ranges are due in time, and each one once. */
  @Test
  void allMovesStartWithinTheSpread() {
    for (long stepMs : new long[] {50, 130, 700, 2_000}) {
      EvacuationPace paced = new EvacuationPace();
      List<KeyRange> remaining = new ArrayList<>();
      for (int i = 0; i < RANGES; i++) {
        remaining.add(range(i));
      }
      long nowMs = 10_000;
      while (nowMs < 10_000 + EvacuationPace.SPREAD_MS + stepMs) {
        remaining.removeAll(paced.due(List.copyOf(remaining), loads, nowMs));
        nowMs += stepMs;
      }
      assertThat(remaining).isEmpty();
    }
  }

  @Test
  void theNextEvacuationStartsSlowlyAgain() {
    pace.due(List.of(range(0)), loads, 0);
    pace.due(List.of(), loads, 5_000);
    List<KeyRange> remaining = new ArrayList<>();
    for (int i = 0; i < RANGES; i++) {
      remaining.add(range(i));
    }
    assertThat(pace.due(remaining, loads, 9_000).size()).isLessThan(RANGES / 10);
  }
}
