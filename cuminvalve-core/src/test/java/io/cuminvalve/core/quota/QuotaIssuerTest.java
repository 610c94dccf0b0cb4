package io.cuminvalve.core.quota;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuotaIssuerTest {

  private static final TargetId TARGET = TargetId.ofRun("one", 1);
  private static final int URGENT = 1;
  private static final int LATER = 2;
  private static final long HOUR_MS = 3_600_000;

  private final QuotaIssuer issuer = new QuotaIssuer();

  @Test
  void targetWithoutLimitGetsNoGrant() {
    assertThat(issuer.ask("a", TARGET, URGENT, 1, 0, 0)).isEqualTo(Optional.empty());
  }

  /** The bucket holds at most the tokens of half a second plus two tokens. */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 0.7, 2, 20, 300})
  void tokensStayWithinLimitForAnySequenceOfGateways(double perS) {
    issuer.setLimits(Map.of(TARGET, perS), 0);
    Random random = new Random(7);
    long granted = 0;
    for (long nowMs = 0; nowMs < 100_000; nowMs += 1 + random.nextInt(3)) {
      String gateway = "gateway-" + random.nextInt(8);
      granted += ask(gateway, 1 + random.nextInt(3), nowMs, random.nextInt(4)).count();
    }
    assertThat((double) granted).isAtMost(100 * perS + 2 + 0.5 * perS);
    assertThat((double) granted).isAtLeast(0.95 * 100 * perS - 1);
  }

  @Test
  void requestsWithinLimitAllGetTokens() {
    issuer.setLimits(Map.of(TARGET, 0.5), 0);
    for (long nowMs = 4_000; nowMs < HOUR_MS; nowMs += 2_100) {
      assertThat(ask("gateway-" + nowMs % 7, LATER, nowMs, 0).count()).isEqualTo(1);
    }
  }

  @Test
  void urgentRequestsComeFirstAndOthersGetTheRest() {
    issuer.setLimits(Map.of(TARGET, 4.0), 0);
    int urgent = 0;
    int later = 0;
    for (long nowMs = 0; nowMs < 100_000; nowMs += 100) {
      later += ask("a", LATER, nowMs, 0).count();
      if (nowMs % 500 == 0) {
        urgent += ask("b", URGENT, nowMs, 0).count();
      }
    }
    assertThat(urgent).isAtLeast(198);
    assertThat(later).isAtLeast(195);
    assertThat(urgent + later).isAtMost(404);
  }

  @Test
  void refusalStatesWhenNextTokenIsAvailable() {
    issuer.setLimits(Map.of(TARGET, 0.5), 0);
    QuotaGrant refused = ask("a", URGENT, 500, 0);
    assertThat(refused.count()).isEqualTo(0);
    assertThat(refused.waitMs()).isEqualTo(1_500);
    assertThat(ask("a", URGENT, 500 + refused.waitMs(), 0).count()).isEqualTo(1);
  }

  @Test
  void partOfFleetGetsItsShareOfLimit() {
    issuer.setLimits(Map.of(TARGET, 10.0), 0);
    issuer.setShare(2, 8);
    long granted = 0;
    for (long nowMs = 0; nowMs < 100_000; nowMs += 50) {
      granted += ask("a", URGENT, nowMs, 0).count();
    }
    assertThat(granted).isAtMost(256);
    assertThat(granted).isAtLeast(248);
  }

  @Test
  void tokensAreGrantedAheadOnlyFromWellFilledBucket() {
    issuer.setLimits(Map.of(TARGET, 40.0), 0);
    assertThat(ask("a", URGENT, 10_000, 4).count()).isEqualTo(5);
    int granted = 0;
    for (int i = 0; i < 30; i++) {
      granted += ask("b", URGENT, 10_000, 0).count();
    }
    assertThat(granted).isEqualTo(16);
    assertThat(ask("a", URGENT, 10_025, 4).count()).isEqualTo(1);
  }

  @Test
  void endedLimitsAreRemoved() {
    issuer.setLimits(Map.of(TARGET, 2.0), 0);
    issuer.setLimits(Map.of(), 10);
    assertThat(issuer.ask("a", TARGET, URGENT, 1, 0, 20)).isEqualTo(Optional.empty());
  }

  private QuotaGrant ask(String gateway, int priority, long nowMs, int ahead) {
    return issuer.ask(gateway, TARGET, priority, 1, ahead, nowMs).orElseThrow();
  }
}
