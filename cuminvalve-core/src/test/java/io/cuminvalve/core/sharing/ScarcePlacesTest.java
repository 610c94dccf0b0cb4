package io.cuminvalve.core.sharing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ScarcePlacesTest {

  @Test
  void placesAreScarceBelowOneForEachGateway() {
    assertThat(ScarcePlaces.isScarce(3, 18)).isFalse();
    assertThat(ScarcePlaces.isScarce(3, 19)).isTrue();
    assertThat(ScarcePlaces.isScarce(3, 60)).isTrue();
  }

  @Test
  void smallDeploymentsHaveEnough() {
    assertThat(ScarcePlaces.isScarce(2, 8)).isFalse();
    assertThat(ScarcePlaces.isScarce(4, 8)).isFalse();
    assertThat(ScarcePlaces.isScarce(4, 12)).isFalse();
    assertThat(ScarcePlaces.isScarce(1, 1)).isFalse();
  }
}
