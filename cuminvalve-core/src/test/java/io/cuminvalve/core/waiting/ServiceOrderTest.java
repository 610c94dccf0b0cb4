package io.cuminvalve.core.waiting;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.waiting.ServiceOrder.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServiceOrderTest {

  private static final long WORK_MS = 100;

  @Test
  void urgentRequestsAreFirstHoweverLate() {
    Entry urgentLate = entry(0, 50, 900, 2);
    Entry other = entry(1, 500, 900, 1);
    assertThat(sorted(200, other, urgentLate)).containsExactly(urgentLate, other).inOrder();
  }

  @Test
  void thoseWithinTheirAimAreBeforeThoseThatMissIt() {
    Entry late = entry(1, 250, 900, 1);
    Entry soon = entry(1, 320, 2_000, 3);
    Entry later = entry(1, 600, 2_000, 2);
    assertThat(sorted(200, late, later, soon)).containsExactly(soon, later, late).inOrder();
  }

  @Test
  void amongLateOnesTheEarliestDeadlineIsFirst() {
    Entry longer = entry(1, 100, 2_000, 1);
    Entry shorter = entry(1, 150, 900, 2);
    assertThat(sorted(200, longer, shorter)).containsExactly(shorter, longer).inOrder();
  }

  @Test
  void equalTimesAreServedByArrival() {
    Entry first = entry(1, 500, 900, 1);
    Entry second = entry(1, 500, 900, 2);
    assertThat(sorted(200, second, first)).containsExactly(first, second).inOrder();
  }

  /** A comparator that contradicts itself fails in the sort of a long list. */
  @Test
  void orderIsTotalAtEachMoment() {
    for (int seed = 0; seed < 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<Entry> entries = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        long aimMs = random.nextLong(0, 1_000);
        entries.add(entry(random.nextInt(3), aimMs, aimMs + random.nextLong(0, 2_000), i));
      }
      long nowMs = random.nextLong(0, 1_000);
      entries.sort(ServiceOrder.at(nowMs));
      for (int i = 1; i < entries.size(); i++) {
        assertThat(entries.get(i).priority()).isAtLeast(entries.get(i - 1).priority());
        assertThat(ServiceOrder.at(nowMs).compare(entries.get(i - 1), entries.get(i)))
            .isLessThan(0);
      }
    }
  }

  private static List<Entry> sorted(long nowMs, Entry... entries) {
    List<Entry> list = new ArrayList<>(List.of(entries));
    list.sort(ServiceOrder.at(nowMs));
    return list;
  }

  private static Entry entry(int priority, long aimMs, long deadlineMs, long number) {
    return new Entry(priority, new RequestTimes(aimMs, deadlineMs), WORK_MS, number);
  }
}
