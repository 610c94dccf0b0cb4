package io.cuminvalve.core.buffer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.buffer.BufferBudget.Grant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {

  private static final long HEAP_BYTES = 160L * 1024 * 1024;
  private static final long TOTAL_BYTES = 96L * 1024 * 1024;
  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;
  private static final int STEP_BYTES = 4 * 1024;
  private static final int SMALL_BYTES = 600;

  private final BufferBudget budget = BufferBudget.ofHeap(HEAP_BYTES);

  @Test
  void oneUploadOfTheLargestSizeFitsAndNoSecondOne() {
    assertThat(budget.takeForRequest(0, MAX_BODY_BYTES)).isEqualTo(Grant.GRANTED);
    assertThat(budget.checkRequest(MAX_BODY_BYTES)).isEqualTo(Grant.NO_ROOM);
    budget.release(MAX_BODY_BYTES);
    assertThat(budget.checkRequest(MAX_BODY_BYTES)).isEqualTo(Grant.GRANTED);
  }

  @Test
  void declaredLengthsThatCanNeverBeBufferedAreTooLarge() {
    assertThat(budget.checkResponse(budget.maxResponseBytes())).isEqualTo(Grant.GRANTED);
    assertThat(budget.checkResponse(budget.maxResponseBytes() + 1)).isEqualTo(Grant.TOO_LARGE);
    assertThat(budget.checkResponse(Long.MAX_VALUE)).isEqualTo(Grant.TOO_LARGE);
    assertThat(budget.takeForResponse(STEP_BYTES, Long.MAX_VALUE)).isEqualTo(Grant.TOO_LARGE);
    assertThat(budget.checkRequest(Long.MAX_VALUE)).isEqualTo(Grant.NO_ROOM);
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  /** Guards against bodies without end, or stalled ones, that displace small ones. */
  @Property(seed = "62", tries = 50)
  void smallBodiesAlwaysFitAndTheSumIsBounded(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int greedyBodies) {
    BufferBudget shared = new BufferBudget(TOTAL_BYTES);
    Random random = new Random(seed);
    List<Body> bodies = new ArrayList<>();
    for (int i = 0; i < greedyBodies; i++) {
      bodies.add(new Body(random.nextBoolean()));
    }
    for (int step = 0; step < 20_000; step++) {
      Body body = bodies.get(random.nextInt(greedyBodies));
      body.grow(shared, STEP_BYTES);
      if (random.nextInt(100) == 0) {
        shared.release(body.heldBytes);
        body.heldBytes = 0;
      }
      assertThat(shared.usedBytes())
          .isAtMost(TOTAL_BYTES + (long) greedyBodies * BufferBudget.FLOOR_BYTES);
    }
    assertWithMessage("small response beside greedy ones")
        .that(shared.checkResponse(SMALL_BYTES))
        .isEqualTo(Grant.GRANTED);
    assertThat(shared.checkRequest(SMALL_BYTES)).isEqualTo(Grant.GRANTED);
    bodies.forEach(body -> shared.release(body.heldBytes));
    assertThat(shared.usedBytes()).isEqualTo(0);
  }

  /** Guards against uploads that leave no room for responses. */
  @Test
  void uploadsLeaveRoomToResponses() {
    Body uploads = new Body(true);
    while (uploads.grow(budget, STEP_BYTES)) {
      assertThat(budget.usedBytes()).isAtMost(TOTAL_BYTES);
    }
    assertThat(budget.checkResponse(TOTAL_BYTES / 8)).isEqualTo(Grant.GRANTED);
  }

  /** A body that takes as much as it gets. */
  private static final class Body {

    private final boolean isRequest;
    private long heldBytes;

    Body(boolean isRequest) {
      this.isRequest = isRequest;
    }

    boolean grow(BufferBudget budget, long bytes) {
      Grant grant =
          isRequest
              ? budget.takeForRequest(heldBytes, bytes)
              : budget.takeForResponse(heldBytes, bytes);
      if (grant == Grant.GRANTED) {
        heldBytes += bytes;
      }
      return grant == Grant.GRANTED;
    }
  }
}
