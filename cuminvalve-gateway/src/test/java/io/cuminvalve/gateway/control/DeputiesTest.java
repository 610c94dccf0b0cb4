package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DeputiesTest {

  private final Deputies deputies = new Deputies("own");

  @Test
  void gatewayWithoutKnownDeputiesFollowsTheStore() {
    assertThat(deputies.mustFollowStore()).isTrue();
    assertThat(deputies.next()).isEmpty();
  }

  @Test
  void onlyDeputiesFollowTheStore() {
    deputies.onNamed(List.of("a", "b"));
    assertThat(deputies.mustFollowStore()).isFalse();
    deputies.onNamed(List.of("a", "own"));
    assertThat(deputies.mustFollowStore()).isTrue();
  }

  @Test
  void otherDeputiesAreAskedInRotation() {
    deputies.onNamed(List.of("a", "own", "b", "c"));
    Set<String> asked = new HashSet<>();
    for (int turn = 0; turn < 3; turn++) {
      List<String> next = deputies.next();
      assertThat(next).hasSize(2);
      assertThat(next.get(0)).isNotEqualTo(next.get(1));
      asked.addAll(next);
    }
    assertThat(asked).containsExactly("a", "b", "c");
  }

  @Test
  void singleOtherDeputyIsReturnedOnce() {
    deputies.onNamed(List.of("own", "a"));
    assertThat(deputies.next()).containsExactly("a");
  }
}
