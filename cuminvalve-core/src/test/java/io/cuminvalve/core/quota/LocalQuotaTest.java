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

  private final LocalQuota share = new LocalQuota(2, new Random(1));

  @Test
  void theIssuerIsAskedOnceAtTheSameTime() {
    assertThat(share.take(URGENT, 8, 0)).isEqualTo(Decision.ASK);
    assertThat(share.take(URGENT, 8, 1)).isEqualTo(Decision.WAIT);
    share.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(share.take(URGENT, 8, 5)).isEqualTo(Decision.TAKEN);
    assertThat(share.take(URGENT, 8, 5)).isEqualTo(Decision.ASK);
  }

  @Test
  void requestsAreRefusedUntilTheTimeThatTheIssuerNames() {
    share.take(LATER, 8, 0);
    share.onGrant(LATER, new QuotaGrant(0, 700, 500), 10);
    assertThat(share.take(LATER, 8, 10)).isEqualTo(Decision.REFUSED);
    assertThat(share.refusedForMs(LATER, 300).getAsLong()).isEqualTo(410);
    assertThat(share.take(LATER, 8, 710)).isEqualTo(Decision.ASK);
  }

  @Test
  void callersAreToldToComeOneAfterTheOther() {
    share.take(LATER, 8, 0);
    share.onGrant(LATER, new QuotaGrant(0, 700, 500), 10);
    assertThat(share.nextRetryAfterMs(LATER, 10)).isEqualTo(700);
    assertThat(share.nextRetryAfterMs(LATER, 10)).isEqualTo(1_200);
    assertThat(share.nextRetryAfterMs(LATER, 110)).isEqualTo(1_600);
    for (int i = 0; i < 50; i++) {
      assertThat(share.nextRetryAfterMs(LATER, 110)).isAtMost(LocalQuota.LONGEST_WAIT_MS);
    }
  }

  @Test
  void whatWasGrantedForUrgentRequestsIsNotForOthers() {
    share.take(URGENT, 8, 0);
    share.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(share.take(LATER, 8, 6)).isEqualTo(Decision.ASK);
    assertThat(share.take(URGENT, 8, 7)).isEqualTo(Decision.TAKEN);
    share.onGrant(LATER, new QuotaGrant(1, 0, 500), 8);
    assertThat(share.take(URGENT, 8, 9)).isEqualTo(Decision.TAKEN);
  }

  @Test
  void grantsThatAreNotUsedRunOut() {
    share.take(URGENT, 8, 0);
    share.onGrant(URGENT, new QuotaGrant(1, 0, 500), 5);
    assertThat(share.take(URGENT, 8, LocalQuota.GRANT_MS)).isEqualTo(Decision.ASK);
  }

  @Test
  void anIssuerThatDoesNotAnswerIsAskedAtPauses() {
    int questions = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
      questions += share.take(URGENT, 1_000_000, nowMs) == Decision.ASK ? 1 : 0;
    }
    assertThat(questions).isAtMost(23);
    assertThat(questions).isAtLeast(15);
    assertThat(share.isIssuerUnreachable()).isTrue();
    assertThat(share.refusedForMs(URGENT, 10_000).isPresent()).isTrue();
    share.onGrant(URGENT, new QuotaGrant(1, 0, 500), 10_000);
    assertThat(share.isIssuerUnreachable()).isFalse();
  }

  /** Nobody hears anybody: the parts of all gateways add up to less than the limit. */
  @ParameterizedTest
  @CsvSource({"0.2, 8", "2, 8", "2, 95", "20, 8", "20, 95", "200, 30"})
  void gatewaysThatHearNobodyExceedTheLimitTogetherNever(double perS, int gateways) {
    for (int seed = 0; seed < 10; seed++) {
      Random random = new Random(seed);
      List<LocalQuota> shares = new ArrayList<>();
      for (int i = 0; i < gateways; i++) {
        shares.add(new LocalQuota(perS, new Random(random.nextLong())));
      }
      List<Long> sent = new ArrayList<>();
      for (long nowMs = 0; nowMs < 30_000; nowMs += 5) {
        for (LocalQuota one : shares) {
          if (one.take(URGENT, gateways, nowMs) == Decision.TAKEN) {
            sent.add(nowMs);
          }
        }
      }
      assertThat((double) mostIn(sent)).isAtMost(1.5 * perS * WINDOW_MS / 1_000 + 5);
    }
  }

  private static int mostIn(List<Long> sent) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(last) - sent.get(first) > WINDOW_MS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
