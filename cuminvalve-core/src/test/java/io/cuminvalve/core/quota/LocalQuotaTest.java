package io.cuminvalve.core.quota;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.quota.LocalQuota.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LocalQuotaTest {

  private static final int URGENT = 1;
  private static final int LATER = 2;
  private static final long WINDOW_MS = 4_000;

  private final LocalQuota quota = new LocalQuota(2, new Random(1));

  @Test
  void onlyOneRequestToIssuerIsPending() {
    assertThat(quota.take(URGENT, 8, 0)).isEqualTo(Decision.ASK);
    assertThat(quota.take(URGENT, 8, 1)).isEqualTo(Decision.WAIT);
    quota.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(quota.take(URGENT, 8, 5)).isEqualTo(Decision.TAKEN);
    assertThat(quota.take(URGENT, 8, 5)).isEqualTo(Decision.ASK);
  }

  @Test
  void requestsAreRefusedUntilTimeGivenByIssuer() {
    quota.take(LATER, 8, 0);
    quota.onGrant(LATER, new QuotaGrant(0, 700, 500), 10);
    assertThat(quota.take(LATER, 8, 10)).isEqualTo(Decision.REFUSED);
    assertThat(quota.refusedForMs(LATER, 300).getAsLong()).isEqualTo(410);
    assertThat(quota.take(LATER, 8, 710)).isEqualTo(Decision.ASK);
  }

  @Test
  void successiveCallersGetLaterRetryTimes() {
    quota.take(LATER, 8, 0);
    quota.onGrant(LATER, new QuotaGrant(0, 700, 500), 10);
    assertThat(quota.nextRetryAfterMs(LATER, 10)).isEqualTo(700);
    assertThat(quota.nextRetryAfterMs(LATER, 10)).isEqualTo(1_200);
    assertThat(quota.nextRetryAfterMs(LATER, 110)).isEqualTo(1_600);
    for (int i = 0; i < 50; i++) {
      assertThat(quota.nextRetryAfterMs(LATER, 110)).isAtMost(LocalQuota.MAX_WAIT_MS);
    }
  }

  @Test
  void tokensForUrgentRequestsAreNotUsedForOthers() {
    quota.take(URGENT, 8, 0);
    quota.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(quota.take(LATER, 8, 6)).isEqualTo(Decision.ASK);
    assertThat(quota.take(URGENT, 8, 7)).isEqualTo(Decision.TAKEN);
    quota.onGrant(LATER, new QuotaGrant(1, 0, 500), 8);
    assertThat(quota.take(URGENT, 8, 9)).isEqualTo(Decision.TAKEN);
  }

  @Test
  void unusedTokensExpire() {
    quota.take(URGENT, 8, 0);
    quota.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(quota.take(URGENT, 8, LocalQuota.TOKEN_LIFETIME_MS)).isEqualTo(Decision.ASK);
  }

  @Test
  void unresponsiveIssuerIsAskedAtIntervals() {
    int issuerRequests = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
      issuerRequests += quota.take(URGENT, 1_000_000, nowMs) == Decision.ASK ? 1 : 0;
    }
    assertThat(issuerRequests).isAtMost(23);
    assertThat(issuerRequests).isAtLeast(15);
    assertThat(quota.isIssuerUnreachable()).isTrue();
    assertThat(quota.refusedForMs(URGENT, 10_000).isPresent()).isTrue();
    quota.onGrant(URGENT, new QuotaGrant(1, 0, 500), 10_000);
    assertThat(quota.isIssuerUnreachable()).isFalse();
  }

  /** No gateway reaches an issuer: their fallback shares add up to less than the limit. */
  @ParameterizedTest
  @CsvSource({"0.2, 8", "2, 8", "2, 95", "20, 8", "20, 95", "200, 30"})
  void gatewaysWithoutIssuerStayWithinLimitTogether(double perS, int gateways) {
    for (int seed = 0; seed < 10; seed++) {
      Random random = new Random(seed);
      List<LocalQuota> quotas = new ArrayList<>();
      for (int i = 0; i < gateways; i++) {
        quotas.add(new LocalQuota(perS, new Random(random.nextLong())));
      }
      List<Long> sent = new ArrayList<>();
      for (long nowMs = 0; nowMs < 30_000; nowMs += 5) {
        for (LocalQuota each : quotas) {
          if (each.take(URGENT, gateways, nowMs) == Decision.TAKEN) {
            sent.add(nowMs);
          }
        }
      }
      assertThat((double) maxSentInWindow(sent)).isAtMost(1.5 * perS * WINDOW_MS / 1_000 + 5);
    }
  }

  private static int maxSentInWindow(List<Long> sent) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(last) - sent.get(first) > WINDOW_MS) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }
}
