package io.cuminvalve.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Distinguishes requests that crash targets from those that were merely in flight. */
class CrashTrackerTest {

  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);
  private static final RequestFingerprint CALLER = CONTENT.by("10.0.0.1");
  private static final RequestFingerprint OTHER_CALLER = CONTENT.by("10.0.0.2");
  private static final long RUN_MS = 50;

  private final CrashTracker tracker = new CrashTracker(0);
  private int targets;

  @Test
  void threeConsecutiveCrashesQuarantineAndTwoDoNot() {
    crash(CALLER, CALLER, 1_000);
    assertThat(tracker.watched(2_000)).isEmpty();
    crash(CALLER, CALLER, 4_000);
    assertThat(tracker.watched(5_000)).containsExactly(CALLER);
    assertThat(tracker.quarantinedUntilMs(5_000)).isEmpty();
    crash(CALLER, CALLER, 8_000);
    assertThat(tracker.quarantinedUntilMs(9_000))
        .containsExactly(CALLER, 8_000 + CrashTracker.INITIAL_QUARANTINE_MS);
  }

  @Test
  void crashOfSameTargetCountsOnce() {
    CrashedRun run = new CrashedRun(new TargetId("core-1"), CALLER, 950, 1_000);
    assertThat(tracker.onCrash(CALLER, run, 1_000)).isTrue();
    assertThat(tracker.onCrash(CALLER, run, 1_000)).isFalse();
    assertThat(tracker.onCrash(CALLER, run, 1_000)).isFalse();
    assertThat(tracker.watched(1_000)).isEmpty();
  }

  /** A rack with ten targets fails while all of them execute a request that many callers send. */
  @Test
  void overlappingCrashesCountOnce() {
    for (int i = 0; i < 10; i++) {
      crash(CALLER, CALLER, 1_000 + i);
    }
    assertThat(tracker.watched(2_000)).isEmpty();
  }

  @Test
  void answerClearsEarlierCrashesOnly() {
    crash(CALLER, CALLER, 1_000);
    crash(CALLER, CALLER, 2_000);
    assertThat(tracker.onAnswer(CALLER, 2_500, 2_500)).isTrue();
    assertThat(tracker.watched(2_500)).isEmpty();
    crash(CALLER, CALLER, 3_000);
    crash(CALLER, CALLER, 4_000);
    assertThat(tracker.quarantinedUntilMs(4_000)).isEmpty();
    crash(CALLER, CALLER, 5_000);
    assertThat(tracker.quarantinedUntilMs(5_000)).containsKey(CALLER);
  }

  @Test
  void crashBeforeAnswerIsIgnoredAfterIt() {
    crash(CALLER, CALLER, 1_000);
    tracker.onAnswer(CALLER, 2_000, 2_000);
    CrashedRun late = new CrashedRun(new TargetId("core-late"), CALLER, 1_400, 1_500);
    assertThat(tracker.onCrash(CALLER, late, 3_000)).isFalse();
  }

  @Test
  void crashesOfOneCallerDoNotQuarantineOthers() {
    for (int i = 1; i <= 5; i++) {
      crash(CALLER, CALLER, i * 1_000L);
      crash(CONTENT, CALLER, i * 1_000L);
    }
    assertThat(tracker.quarantinedUntilMs(6_000).keySet()).containsExactly(CALLER);
  }

  @Test
  void crashesOfSeveralCallersQuarantineContent() {
    crash(CONTENT, CALLER, 1_000);
    crash(CONTENT, OTHER_CALLER, 2_000);
    crash(CONTENT, CALLER, 3_000);
    assertThat(tracker.quarantinedUntilMs(3_000)).containsKey(CONTENT);
  }

  @Test
  void distantCrashesAreUnrelated() {
    crash(CALLER, CALLER, 1_000);
    crash(CALLER, CALLER, 2_000);
    long laterMs = 2_001 + CrashTracker.CRASH_RETENTION_MS;
    assertThat(tracker.watched(laterMs)).isEmpty();
    crash(CALLER, CALLER, laterMs + 100);
    assertThat(tracker.watched(laterMs + 100)).isEmpty();
  }

  @Test
  void crashOnProbationStartsLongerQuarantine() {
    quarantineRequest(CALLER);
    long trialMs = 3_000 + CrashTracker.INITIAL_QUARANTINE_MS + 500;
    crash(CALLER, CALLER, trialMs);
    assertThat(tracker.quarantinedUntilMs(trialMs).get(CALLER))
        .isEqualTo(trialMs + 4 * CrashTracker.INITIAL_QUARANTINE_MS);
  }

  @Test
  void quarantineGrowsUpToMaximum() {
    quarantineRequest(OTHER_CALLER);
    for (int i = 4; i < 12; i++) {
      crash(OTHER_CALLER, OTHER_CALLER, i * 1_000L);
    }
    assertThat(tracker.quarantinedUntilMs(12_000).get(OTHER_CALLER))
        .isEqualTo(11_000 + CrashTracker.MAX_QUARANTINE_MS);
  }

  @Test
  void expiredHistoriesAreEvicted() {
    quarantineRequest(CALLER);
    long laterMs = 3_001 + CrashTracker.PROBATION_MS;
    assertThat(tracker.quarantinedUntilMs(laterMs)).isEmpty();
    assertThat(tracker.crashesOf(CALLER)).isEmpty();
  }

  /** A data centre with thousands of requests in flight fails after a request was quarantined. */
  @Test
  void memoryIsBoundedAndQuarantinedRequestIsKept() {
    quarantineRequest(CALLER);
    for (int i = 0; i < 20_000; i++) {
      RequestFingerprint bystander = new RequestFingerprint(1_000 + i);
      tracker.onCrash(
          bystander, new CrashedRun(new TargetId("core-x"), bystander, 9_900, 10_000), 10_000);
    }
    int known = 0;
    for (int i = 0; i < 20_000; i++) {
      known += tracker.crashesOf(new RequestFingerprint(1_000 + i)).size();
    }
    assertThat(known).isLessThan(CrashTracker.MAX_REQUESTS);
    assertThat(tracker.quarantinedUntilMs(10_000)).containsKey(CALLER);
  }

  @Test
  void mergeOrderDoesNotMatter() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<CrashReport> reports = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        CrashTracker reporter = new CrashTracker(0);
        report(reporter, random, i);
        reports.addAll(reporter.reports(List.of(CALLER), 20_000));
      }
      CrashTracker one = merged(reports, random);
      CrashTracker two = merged(reports, random);
      assertThat(one.quarantinedUntilMs(20_000)).isEqualTo(two.quarantinedUntilMs(20_000));
      assertThat(one.watched(20_000)).isEqualTo(two.watched(20_000));
    }
  }

  private static void report(CrashTracker reporter, Random random, int number) {
    long endedMs = 1_000 + random.nextInt(18_000);
    CrashedRun run =
        new CrashedRun(new TargetId("core-" + number), CALLER, endedMs - RUN_MS, endedMs);
    reporter.onCrash(CALLER, run, 20_000);
    if (random.nextInt(4) == 0) {
      reporter.onAnswer(CALLER, 1_000 + random.nextInt(18_000), 20_000);
    }
  }

  private static CrashTracker merged(List<CrashReport> reports, Random random) {
    List<CrashReport> shuffled = new ArrayList<>(reports);
    shuffled.addAll(reports);
    Collections.shuffle(shuffled, random);
    CrashTracker tracker = new CrashTracker(0);
    shuffled.forEach(report -> tracker.merge(report, 20_000));
    return tracker;
  }

  private void quarantineRequest(RequestFingerprint fingerprint) {
    crash(fingerprint, fingerprint, 1_000);
    crash(fingerprint, fingerprint, 2_000);
    crash(fingerprint, fingerprint, 3_000);
  }

  private void crash(RequestFingerprint fingerprint, RequestFingerprint caller, long endedMs) {
    targets++;
    TargetId target = new TargetId("core-" + targets);
    tracker.onCrash(
        fingerprint, new CrashedRun(target, caller, endedMs - RUN_MS, endedMs), endedMs);
  }
}
