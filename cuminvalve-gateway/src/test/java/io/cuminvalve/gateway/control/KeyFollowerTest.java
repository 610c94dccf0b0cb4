package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeyFollowerTest {

  private static final long RETRY_MS = 150;
  private static final long MAX_AGE_MS = 1_400;
  private static final long HEARTBEAT_MS = 300;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final WatchedStore store = new WatchedStore(clock);
  private boolean reliesOnPeers;
  private final List<WatchResult.Event> results = new ArrayList<>();
  private final KeyFollower follower =
      new KeyFollower(
          store,
          "key",
          control,
          clock,
          new DecisionLog(clock, 100, line -> {}),
          RETRY_MS,
          new PeerReliance(() -> MAX_AGE_MS, () -> reliesOnPeers),
          result -> results.add(result.event()));

  @BeforeEach
  void begin() {
    store.put((byte) 1);
    follower.start();
    clock.advance(0);
    assertThat(follower.revision()).isEqualTo(1);
  }

  @Test
  void unconfirmedDataIsPolledOften() {
    clock.advance(20_000);
    assertThat(store.waits().size()).isAtLeast((int) (20_000 / KeyFollower.SHORT_WAIT_MS));
    assertThat(last(store.waits())).isEqualTo(KeyFollower.SHORT_WAIT_MS);
  }

  @Test
  void confirmedDataCostsNoCalls() {
    confirmFor(3_000);
    final int calls = store.waits().size();
    assertThat(last(store.waits())).isEqualTo(KeyFollower.LONG_WAIT_MS);
    confirmFor(20_000);
    assertThat(store.waits()).hasSize(calls);
  }

  @Test
  void longWaitEndsWhenConfirmationsStop() {
    confirmFor(3_000);
    store.silenceWaitingCalls();
    store.put((byte) 2);
    clock.advance(MAX_AGE_MS + 300);
    assertThat(follower.revision()).isEqualTo(2);
  }

  @Test
  void revisionReportedByPeerEndsTheWait() {
    confirmFor(3_000);
    store.silenceWaitingCalls();
    store.put((byte) 2);
    follower.onPeerRevision(2, UpperTime.NEVER);
    clock.advance(HEARTBEAT_MS);
    assertThat(follower.revision()).isEqualTo(2);
  }

  @Test
  void olderRevisionOfPeerConfirmsNothing() {
    confirmFor(3_000);
    store.silenceWaitingCalls();
    store.put((byte) 2);
    follower.onPeerRevision(2, UpperTime.NEVER);
    clock.advance(HEARTBEAT_MS);
    store.silenceWaitingCalls();
    store.put((byte) 3);
    for (long ms = 0; ms < MAX_AGE_MS + HEARTBEAT_MS; ms += HEARTBEAT_MS) {
      follower.onPeerRevision(1, clock.upper());
      clock.advance(HEARTBEAT_MS);
    }
    assertThat(follower.revision()).isEqualTo(3);
  }

  @Test
  void overdueResponseIsNotAwaited() {
    store.silenceWaitingCalls();
    store.put((byte) 2);
    clock.advance(KeyFollower.SHORT_WAIT_MS + KeyFollower.RESPONSE_TIMEOUT_MS + 150);
    assertThat(follower.revision()).isEqualTo(2);
  }

  @Test
  void failedCallsAreRepeatedAfterDelay() {
    store.setAvailable(false);
    store.put((byte) 2);
    clock.advance(0);
    final int calls = store.waits().size();
    clock.advance(10 * RETRY_MS);
    assertThat(store.waits().size() - calls).isAtMost(11);
    store.setAvailable(true);
    clock.advance(RETRY_MS);
    assertThat(follower.revision()).isEqualTo(2);
    assertThat(results).contains(WatchResult.Event.UNAVAILABLE);
  }

  @Test
  void closedFollowerReportsNothing() {
    follower.close();
    results.clear();
    store.put((byte) 2);
    clock.advance(5_000);
    assertThat(results).isEmpty();
    follower.start();
    clock.advance(0);
    assertThat(results).containsExactly(WatchResult.Event.CHANGED);
  }

  @Test
  void relyingFollowerMakesNoCallsWhilePeersConfirm() {
    relyOnPeers();
    final int calls = store.waits().size();
    confirmFor(20_000);
    assertThat(store.waits()).hasSize(calls);
  }

  @Test
  void relyingFollowerReadsOnceWhenPeerReportsNewRevision() {
    relyOnPeers();
    final int calls = store.waits().size();
    store.put((byte) 2);
    follower.onPeerRevision(2, UpperTime.NEVER);
    clock.advance(0);
    assertThat(follower.revision()).isEqualTo(2);
    confirmFor(3_000);
    assertThat(store.waits()).hasSize(calls + 1);
  }

  @Test
  void relyingFollowerReadsTheStoreWhenPeersStopConfirming() {
    relyOnPeers();
    store.put((byte) 2);
    clock.advance(MAX_AGE_MS + 200);
    assertThat(follower.revision()).isEqualTo(2);
    final int calls = store.waits().size();
    clock.advance(10 * MAX_AGE_MS);
    assertThat(store.waits().size() - calls).isAtLeast(8);
    assertThat(store.waits().size() - calls).isAtMost(10);
  }

  /** A term that was reported but has ended since must not cause calls without a pause. */
  @Test
  void peerRevisionThatTheStoreDoesNotHaveIsForgotten() {
    relyOnPeers();
    final int calls = store.waits().size();
    follower.onPeerRevision(9, UpperTime.NEVER);
    clock.advance(1_000);
    assertThat(store.waits().size() - calls).isAtMost(2);
  }

  @Test
  void followerThatNoLongerReliesOnPeersPollsAgain() {
    relyOnPeers();
    confirmFor(3_000);
    reliesOnPeers = false;
    confirmFor(600);
    assertThat(last(store.waits())).isEqualTo(KeyFollower.LONG_WAIT_MS);
  }

  @Test
  void missingKeyIsPolledAtTheStore() {
    relyOnPeers();
    store.remove();
    clock.advance(MAX_AGE_MS + 200);
    assertThat(last(results)).isEqualTo(WatchResult.Event.ABSENT);
    clock.advance(RETRY_MS + 100);
    assertThat(follower.isAbsent()).isTrue();
    store.put((byte) 3);
    clock.advance(RETRY_MS);
    assertThat(follower.revision()).isEqualTo(3);
    assertThat(follower.isAbsent()).isFalse();
  }

  private void relyOnPeers() {
    reliesOnPeers = true;
    store.silenceWaitingCalls();
    clock.advance(KeyFollower.SHORT_WAIT_MS + KeyFollower.RESPONSE_TIMEOUT_MS + 150);
    confirmFor(1_000);
  }

  /**
   * Guards against a configuration that is considered newer than it is, because a response arrived
   * before the end of the wait and a delayed control thread processed it later.
   */
  @Test
  void delayedControlThreadDoesNotMakeResponsesNewer() {
    VirtualClock controlClock = new VirtualClock(10_000);
    WatchedStore early = new WatchedStore(clock);
    early.put((byte) 1);
    KeyFollower late =
        new KeyFollower(
            early,
            "key",
            new ControlThread("late", FailureHandler.logging(), new VirtualExecutor(controlClock)),
            clock,
            new DecisionLog(clock, 100, line -> {}),
            RETRY_MS,
            new PeerReliance(() -> MAX_AGE_MS, () -> false),
            result -> {});
    late.start();
    controlClock.advance(0);
    final UpperTime sent = clock.upper();
    early.endWaitsUnchanged();
    clock.advance(KeyFollower.SHORT_WAIT_MS);
    controlClock.advance(0);
    assertThat(late.confirmed()).isEqualTo(sent);
  }

  /** Simulates a holder that repeatedly confirms the known revision. */
  private void confirmFor(long durationMs) {
    for (long ms = 0; ms < durationMs; ms += HEARTBEAT_MS) {
      follower.onPeerRevision(follower.revision(), clock.upper());
      clock.advance(HEARTBEAT_MS);
    }
  }

  private static <T> T last(List<T> list) {
    return list.get(list.size() - 1);
  }
}
