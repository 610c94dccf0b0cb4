package io.cuminvalve.core.locality;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Requests stay at home while they are served in time there. */
class LocalityRuleTest {

  private static final double AIM_MS = 400;

  /** Guards against traffic between data centres for responses that nobody needs earlier. */
  @Test
  void requestsStayWhereTheyAreServedInTime() {
    assertThat(LocalityRule.staysLocal(199, 50, AIM_MS)).isTrue();
  }

  /** Guards against queues at home beside idle targets elsewhere. */
  @Test
  void requestsLeaveWhereTheyWouldBeLate() {
    assertThat(LocalityRule.staysLocal(201, 50, AIM_MS)).isFalse();
  }

  /** Guards against leaving for a target that is slower still. */
  @Test
  void requestsDoNotLeaveForSlowerTargets() {
    assertThat(LocalityRule.staysLocal(900, 901, AIM_MS)).isTrue();
  }

  /** Guards against keeping a late request where it becomes later. */
  @Test
  void requestsPastTheirAimGoWhereTheyAreFaster() {
    assertThat(LocalityRule.staysLocal(60, 50, -100)).isFalse();
    assertThat(LocalityRule.staysLocal(50, 60, -100)).isTrue();
  }
}
