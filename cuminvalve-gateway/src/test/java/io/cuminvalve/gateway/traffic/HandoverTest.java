package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HandoverTest {

  private final Handover handover = new Handover();

  @Test
  void whatHasBegunCannotBePrevented() {
    assertThat(handover.begin()).isTrue();
    assertThat(handover.prevent()).isFalse();
    assertThat(handover.begin()).isTrue();
  }

  @Test
  void whatWasPreventedNeverBegins() {
    assertThat(handover.prevent()).isTrue();
    assertThat(handover.begin()).isFalse();
    assertThat(handover.prevent()).isTrue();
  }
}
