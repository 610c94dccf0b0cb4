package io.cuminvalve.core.intent;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

/** Tests {@link IntentReplica}. */
class IntentReplicaTest {

  private static final IdempotencyKey KEY = new IdempotencyKey("pay-1");
  private static final OperationId OPERATION = new OperationId(new TenantId("shop"), KEY);
  private static final RequestId FIRST = new RequestId("first");
  private static final RequestId SECOND = new RequestId("second");
  private static final RouterId ROUTER = new RouterId("r1");

  private final IntentReplica replica =
      new IntentReplica(new IntentSettings(10_000, 100, 300, 1, 2));

  @Test
  void resendWhileInFlight() {
    assertThat(claim(FIRST, 0)).isEqualTo(IntentAnswer.GRANTED);
    assertThat(claim(FIRST, 1)).isEqualTo(IntentAnswer.GRANTED);
    assertThat(claim(SECOND, 2)).isEqualTo(IntentAnswer.IN_FLIGHT);
  }

  @Test
  void resendAfterEachEnd() {
    claim(FIRST, 0);
    replica.settle(OPERATION, FIRST, ROUTER, Verdict.NOT_RUN, 10);
    assertThat(claim(SECOND, 20)).isEqualTo(IntentAnswer.GRANTED);
    replica.settle(OPERATION, FIRST, ROUTER, Verdict.NOT_RUN, 30);
    assertThat(claim(FIRST, 40)).isEqualTo(IntentAnswer.IN_FLIGHT);
    replica.settle(OPERATION, SECOND, ROUTER, Verdict.MAY_HAVE_RUN, 50);
    assertThat(claim(FIRST, 60)).isEqualTo(IntentAnswer.MAY_HAVE_RUN);
    replica.settle(OPERATION, SECOND, ROUTER, Verdict.RAN, 70);
    assertThat(claim(FIRST, 80)).isEqualTo(IntentAnswer.RAN);
    replica.settle(OPERATION, SECOND, ROUTER, Verdict.MAY_HAVE_RUN, 90);
    replica.settle(OPERATION, SECOND, ROUTER, Verdict.NOT_RUN, 90);
    assertThat(claim(FIRST, 100)).isEqualTo(IntentAnswer.RAN);
  }

  @Test
  void claimWithoutEndMayHaveRun() {
    claim(FIRST, 0);
    assertThat(claim(SECOND, 1_099)).isEqualTo(IntentAnswer.IN_FLIGHT);
    assertThat(claim(SECOND, 1_100)).isEqualTo(IntentAnswer.MAY_HAVE_RUN);
  }

  @Test
  void claimOfLostRouterMayHaveRun() {
    claim(FIRST, 0);
    replica.onRouterLost(new RouterId("other"), 1);
    assertThat(claim(SECOND, 2)).isEqualTo(IntentAnswer.IN_FLIGHT);
    replica.onRouterLost(ROUTER, 3);
    assertThat(claim(SECOND, 4)).isEqualTo(IntentAnswer.MAY_HAVE_RUN);
  }

  @Test
  void forgetsOnlyAfterTheRetentionTime() {
    claim(FIRST, 0);
    replica.settle(OPERATION, FIRST, ROUTER, Verdict.RAN, 500);
    replica.tick(10_499);
    assertThat(claim(SECOND, 10_499)).isEqualTo(IntentAnswer.RAN);
    replica.tick(10_500);
    assertThat(claim(SECOND, 10_500)).isEqualTo(IntentAnswer.GRANTED);
  }

  @Test
  void fullReplicaRejectsClaimsAndEvictsNothing() {
    claim(FIRST, 0);
    replica.claim(operation("t2"), SECOND, ROUTER, 1_000, 0);
    assertThat(replica.claim(operation("t3"), SECOND, ROUTER, 1_000, 0))
        .isEqualTo(IntentAnswer.NOT_READY);
    assertThat(claim(SECOND, 0)).isEqualTo(IntentAnswer.IN_FLIGHT);
  }

  @Test
  void sameKeyOfAnotherTenantIsAnotherOperation() {
    claim(FIRST, 0);
    assertThat(replica.claim(operation("t2"), SECOND, ROUTER, 1_000, 0))
        .isEqualTo(IntentAnswer.GRANTED);
  }

  @Test
  void mergeKeepsTheMoreDefiniteState() {
    claim(FIRST, 0);
    replica.settle(OPERATION, FIRST, ROUTER, Verdict.RAN, 10);
    replica.merge(new IntentEntry(OPERATION, SECOND, ROUTER, IntentEntry.State.CLAIMED, 1_000), 20);
    assertThat(claim(SECOND, 30)).isEqualTo(IntentAnswer.RAN);
  }

  private IntentAnswer claim(RequestId request, long nowMs) {
    return replica.claim(OPERATION, request, ROUTER, 1_000, nowMs);
  }

  private static OperationId operation(String tenant) {
    return new OperationId(new TenantId(tenant), KEY);
  }
}
