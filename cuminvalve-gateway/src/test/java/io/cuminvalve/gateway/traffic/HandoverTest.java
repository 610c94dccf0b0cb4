package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HandoverTest {

  private final Handover handover = new Handover();

  @Test
  void begunHandoversCannotBePrevented() {
    assertThat(handover.begin()).isTrue();
    assertThat(handover.prevent()).isFalse();
    assertThat(handover.begin()).isTrue();
  }

  @Test
  void preventedHandoversNeverBegin() {
    assertThat(handover.prevent()).isTrue();
    assertThat(handover.begin()).isFalse();
    assertThat(handover.prevent()).isTrue();
  }
}
