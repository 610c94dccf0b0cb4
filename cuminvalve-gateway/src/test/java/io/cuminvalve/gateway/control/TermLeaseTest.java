package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The holder of the term on a suspended host and after a restore of the store. */
class TermLeaseTest {

  private static final long GRACE_MS = 9_500;

  private final VirtualClock baseClock = new VirtualClock(10_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(baseClock));
  private final TermStore store = new TermStore();
  private final List<String> events = new ArrayList<>();
  private long suspendedMs;
  private long reachDelayMs;
  private final TermLease lease =
      new TermLease(
          store,
          control,
          this::nowMs,
          new SplittableRandom(1),
          new DecisionLog(this::nowMs, 100, line -> {}),
          new RecordCodec(),
          new TermHolderRecord("one", 1, "10.0.0.1:1"),
          false,
          1,
          () -> reachDelayMs,
          GRACE_MS,
          PeerReliance.partial(() -> 1_000),
          new Events());

  private long nowMs() {
    return baseClock.nowMs() + suspendedMs;
  }

  @BeforeEach
  void acquireTerm() {
    control.execute(lease::start);
    baseClock.advance(1_000);
    assertThat(events).containsExactly("gained");
    assertThat(lease.isConfirmedSinceResume()).isTrue();
  }

  @Test
  void termIsUnconfirmedAfterResumeUntilTheStoreResponds() {
    store.holdAnswers();
    suspend(5_000);
    assertThat(lease.isConfirmedSinceResume()).isFalse();
    baseClock.advance(50);
    assertThat(lease.isConfirmedSinceResume()).isFalse();
    store.answer(StoreOutcome.DONE);
    baseClock.advance(1);
    assertThat(lease.isConfirmedSinceResume()).isTrue();
    assertThat(events).containsExactly("gained");
  }

  @Test
  void holderThatLostTheTermWhileSuspendedStops() {
    store.holdAnswers();
    suspend(5_000);
    store.answer(StoreOutcome.CONFLICT);
    baseClock.advance(1);
    assertThat(events).containsExactly("gained", "lost").inOrder();
    assertThat(lease.isConfirmedSinceResume()).isFalse();
  }

  /** After the grace time the next holder assumes that this one has stopped. */
  @Test
  void holderSuspendedForTheWholeGraceTimeStopsWithoutCall() {
    store.holdAnswers();
    suspend(GRACE_MS);
    assertThat(events).containsExactly("gained", "lost").inOrder();
  }

  @Test
  void holderReacquiresTheTermWithoutDelay() {
    store.vacateOnEnd();
    control.execute(lease::onStoreCameBack);
    control.execute(lease::reacquire);
    baseClock.advance(50);
    assertThat(events).containsExactly("gained", "lost", "gained").inOrder();
  }

  /** The older copy lacks the lease; the holder must write its state before others read it. */
  @Test
  void holderContinuesBrieflyWithoutItsLeaseAfterRestore() {
    store.holdAnswers();
    control.execute(lease::onStoreCameBack);
    baseClock.advance(400);
    store.answer(StoreOutcome.CONFLICT);
    store.holdAnswers();
    baseClock.advance(1);
    assertThat(events).containsExactly("gained");
    baseClock.advance(1_000);
    store.answer(StoreOutcome.CONFLICT);
    baseClock.advance(1);
    assertThat(events).containsExactly("gained", "lost").inOrder();
  }

  @Test
  void otherCandidatesWaitForTheFormerHolderAfterRestore() {
    store.vacateOnEnd();
    control.execute(lease::onStoreCameBack);
    control.execute(() -> lease.relinquish("test"));
    baseClock.advance(1_000);
    assertThat(events).containsExactly("gained", "lost").inOrder();
    baseClock.advance(1_000);
    assertThat(events).containsExactly("gained", "lost", "gained").inOrder();
  }

  /** Others that reach the targets acquire the term meanwhile; if there are none, this one does. */
  @Test
  void candidateThatReachesNoTargetWaitsLonger() {
    store.vacateOnEnd();
    reachDelayMs = 2_000;
    control.execute(() -> lease.relinquish("test"));
    baseClock.advance(2_000);
    assertThat(events).containsExactly("gained", "lost").inOrder();
    baseClock.advance(1_000);
    assertThat(events).containsExactly("gained", "lost", "gained").inOrder();
  }

  private void suspend(long forMs) {
    suspendedMs += forMs;
    control.execute(lease::onWoken);
    baseClock.advance(0);
  }

  private final class Events implements TermLease.Listener {

    @Override
    public void onGained(long term) {
      events.add("gained");
    }

    @Override
    public void onLost() {
      events.add("lost");
    }

    @Override
    public void onOtherHolder(String peerAddress) {
      events.add("other");
    }
  }
}
