package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RangeRoutesTest {

  private static final int KEYS = 40;
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void patchedListsRouteLikeTheLaterOne(long seed) {
    Random random = new Random(seed);
    List<RangeRoute> known = randomRoutes(random);
    for (int i = 0; i < 200; i++) {
      List<RangeRoute> after = randomRoutes(random);
      known = RangeRoutes.overlay(known, RangeRoutes.changes(known, after));
      for (int key = 0; key < KEYS; key++) {
        RangeRoute expected = find(after, key);
        RangeRoute found = find(known, key);
        assertThat(found.owner()).isEqualTo(expected.owner());
        assertThat(found.open()).isEqualTo(expected.open());
        assertThat(found.refusedPercent()).isEqualTo(expected.refusedPercent());
      }
      assertThat(sizes(known)).isEqualTo(KEYS);
    }
  }

  @Test
  void onlyRangesThatDifferAreChanges() {
    List<RangeRoute> before =
        List.of(new RangeRoute(0, 9, A, true), new RangeRoute(10, 39, B, true));
    List<RangeRoute> after =
        List.of(
            new RangeRoute(0, 9, A, true),
            new RangeRoute(10, 19, A, false),
            new RangeRoute(20, 39, B, true));

    assertThat(RangeRoutes.changes(before, after))
        .containsExactly(new RangeRoute(10, 19, A, false), new RangeRoute(20, 39, B, true))
        .inOrder();
  }

  @Test
  void overlayHandlesEmptyLists() {
    List<RangeRoute> all = List.of(new RangeRoute(0, 39, A, true));
    assertThat(RangeRoutes.overlay(List.of(), all)).isEqualTo(all);
    assertThat(RangeRoutes.overlay(all, List.of())).isEqualTo(all);
  }

  private static List<RangeRoute> randomRoutes(Random random) {
    List<RangeRoute> routes = new ArrayList<>();
    int first = 0;
    while (first < KEYS) {
      int last = Math.min(KEYS - 1, first + random.nextInt(12));
      TargetId owner = random.nextBoolean() ? A : B;
      int refused = 50 * random.nextInt(2);
      routes.add(new RangeRoute(first, last, owner, random.nextBoolean(), refused));
      first = last + 1;
    }
    return routes;
  }

  private static RangeRoute find(List<RangeRoute> routes, int key) {
    return routes.stream()
        .filter(route -> route.firstKey() <= key && key <= route.lastKey())
        .findFirst()
        .orElseThrow();
  }

  private static int sizes(List<RangeRoute> routes) {
    return routes.stream().mapToInt(route -> route.lastKey() - route.firstKey() + 1).sum();
  }
}
