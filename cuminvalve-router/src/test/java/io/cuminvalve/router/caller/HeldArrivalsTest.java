package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Since when bytes may have waited that are taken long after they were read. */
class HeldArrivalsTest {

  private final HeldArrivals arrivals = new HeldArrivals();

  @Test
  void nothingIsKnownOfBytesThatAreNotHeld() {
    assertThat(arrivals.ofNext()).isEqualTo(UpperTime.NEVER);
    arrivals.onHeld(3, new UpperTime(10));
    arrivals.onTaken(3);
    assertThat(arrivals.ofNext()).isEqualTo(UpperTime.NEVER);
  }

  /** A request that is taken late counts from its own read, not from a later one. */
  @Test
  void bytesCountFromTheReadThatBroughtThem() {
    arrivals.onHeld(10, new UpperTime(100));
    arrivals.onHeld(5, new UpperTime(200));
    assertThat(arrivals.ofNext()).isEqualTo(new UpperTime(100));
    arrivals.onTaken(9);
    assertThat(arrivals.ofNext()).isEqualTo(new UpperTime(100));
    arrivals.onTaken(1);
    assertThat(arrivals.ofNext()).isEqualTo(new UpperTime(200));
  }

  /** However many reads there were, no byte counts from later than its own read. */
  @Test
  void noByteCountsFromTooLate() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      HeldArrivals many = new HeldArrivals();
      List<Integer> readOfByte = new ArrayList<>();
      int taken = 0;
      for (int read = 1; read <= 300; read++) {
        int bytes = 1 + random.nextInt(4);
        many.onHeld(bytes, new UpperTime(read));
        for (int i = 0; i < bytes; i++) {
          readOfByte.add(read);
        }
        int more = random.nextInt(Math.min(4, readOfByte.size() - taken + 1));
        many.onTaken(more);
        taken += more;
        if (taken < readOfByte.size()) {
          UpperTime exact = new UpperTime(readOfByte.get(taken));
          assertThat(many.ofNext().sinceMs(exact)).isAtMost(0);
        }
      }
    }
  }
}
