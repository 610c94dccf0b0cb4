package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RequestQuarantineTest {

  private static final RequestFingerprint CONTENT = new RequestFingerprint(1);
  private static final RequestIdentity ONE = new RequestIdentity(CONTENT, CONTENT.by("one"));
  private static final RequestIdentity TWO = new RequestIdentity(CONTENT, CONTENT.by("two"));

  private final VirtualClock clock = new VirtualClock(1_000);
  private final RequestQuarantine quarantine = new RequestQuarantine(clock);

  @Test
  void allRequestsMayBeSentAtFirst() {
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    assertThat(quarantine.refusedForMs(ONE)).isEqualTo(0);
  }

  @Test
  void oneCallersRequestIsRefusedAndAnothersIsNot() {
    install(ONE.contentAndCaller(), 500);
    assertThat(quarantine.admit(ONE)).isEqualTo(500);
    assertThat(quarantine.admit(TWO)).isEqualTo(0);
  }

  @Test
  void someContentIsRefusedToAllCallers() {
    install(CONTENT, 500);
    assertThat(quarantine.admit(ONE)).isEqualTo(500);
    assertThat(quarantine.admit(TWO)).isEqualTo(500);
  }

  @Test
  void afterTheQuarantineOneIsTriedAndTheOthersWaitForIt() {
    install(CONTENT, 500);
    clock.advance(500);
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    assertThat(quarantine.refusedForMs(ONE)).isEqualTo(0);
    assertThat(quarantine.admit(ONE)).isGreaterThan(0L);
    assertThat(quarantine.admit(TWO)).isGreaterThan(0L);
    assertThat(quarantine.refusedForMsAfterFailure(ONE)).isGreaterThan(0L);
  }

  @Test
  void unansweredTrialsAreFollowedByOthers() {
    install(CONTENT, 0);
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    clock.advance(quarantine.admit(ONE));
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
  }

  @Test
  void clearedRequestsAreSentAgain() {
    install(CONTENT, 500);
    quarantine.install(Map.of(), Set.of());
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
  }

  @Test
  void responsesToWatchedRequestsAreReported() {
    List<RequestFingerprint> reported = new ArrayList<>();
    quarantine.onAnswered(reported::add);
    quarantine.onAnswer(ONE);
    assertThat(reported).isEmpty();
    quarantine.install(Map.of(), Set.of(CONTENT));
    quarantine.onAnswer(ONE);
    assertThat(reported).containsExactly(CONTENT);
  }

  @Test
  void theLastAnswerIsKnownAndThatOfOthersIsNotTakenForIt() {
    clock.advance(40);
    quarantine.onAnswer(ONE);
    assertThat(quarantine.lastAnsweredMs(ONE.contentAndCaller()).getAsLong())
        .isEqualTo(clock.nowMs());
    assertThat(quarantine.lastAnsweredMs(TWO.contentAndCaller()).isEmpty()).isTrue();
    RequestFingerprint sameBucket = new RequestFingerprint(CONTENT.value() + (1L << 40));
    assertThat(quarantine.lastAnsweredMs(sameBucket).isEmpty()).isTrue();
  }

  /** Guards against bursts of copies that all reach the third target before it crashes. */
  @Test
  void watchedRequestsAreSentOneByOne() {
    List<RequestFingerprint> wanted = new ArrayList<>();
    quarantine.onTrialWanted(wanted::add);
    quarantine.install(Map.of(), Set.of(CONTENT));
    for (int copy = 0; copy < 5; copy++) {
      assertThat(quarantine.admit(ONE)).isGreaterThan(0L);
      assertThat(quarantine.admit(TWO)).isGreaterThan(0L);
    }
    assertThat(wanted).containsExactly(CONTENT);
    quarantine.permitTrial(CONTENT);
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    assertThat(quarantine.admit(TWO)).isGreaterThan(0L);
    assertThat(quarantine.refusedForMsAfterFailure(ONE)).isGreaterThan(0L);
    quarantine.install(Map.of(), Set.of());
    assertThat(quarantine.admit(TWO)).isEqualTo(0);
  }

  @Test
  void permitsThatAreNotUsedRunOut() {
    quarantine.install(Map.of(), Set.of(CONTENT));
    quarantine.admit(ONE);
    quarantine.permitTrial(CONTENT);
    clock.advance(SuspectTrials.PERMIT_MS);
    assertThat(quarantine.admit(ONE)).isGreaterThan(0L);
  }

  @Test
  void withoutAnAnswerOfTheHolderOneIsSentAfterWhile() {
    quarantine.install(Map.of(), Set.of(CONTENT));
    assertThat(quarantine.admit(ONE)).isGreaterThan(0L);
    clock.advance(SuspectTrials.PERMIT_TIMEOUT_MS);
    assertThat(quarantine.admit(ONE)).isEqualTo(0);
    assertThat(quarantine.admit(ONE)).isGreaterThan(0L);
  }

  private void install(RequestFingerprint fingerprint, long forMs) {
    quarantine.install(Map.of(fingerprint, clock.nowMs() + forMs), Set.of(fingerprint));
  }
}
