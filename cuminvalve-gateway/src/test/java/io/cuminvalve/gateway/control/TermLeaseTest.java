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

/** The holder of the term on a host that is suspended. */
class TermLeaseTest {

  private static final long GRACE_MS = 9_500;

  private final VirtualClock steady = new VirtualClock(10_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(steady));
  private final TermStore store = new TermStore();
  private final List<String> events = new ArrayList<>();
  private long suspendedMs;
  private final TermLease lease =
      new TermLease(
          store,
          control,
          this::nowMs,
          new SplittableRandom(1),
          new DecisionLog(this::nowMs, 100, line -> {}),
          new RecordCodec(),
          new TermNote("one", 1, "10.0.0.1:1"),
          false,
          1,
          GRACE_MS,
          PeerReliance.partial(() -> 1_000),
          new Events());

  private long nowMs() {
    return steady.nowMs() + suspendedMs;
  }

  @BeforeEach
  void gainTerm() {
    control.execute(lease::start);
    steady.advance(1_000);
    assertThat(events).containsExactly("gained");
    assertThat(lease.isConfirmedSinceWaking()).isTrue();
  }

  @Test
  void nothingCountsAfterWakingBeforeTheStoreHasConfirmed() {
    store.holdAnswers();
    suspend(5_000);
    assertThat(lease.isConfirmedSinceWaking()).isFalse();
    steady.advance(50);
    assertThat(lease.isConfirmedSinceWaking()).isFalse();
    store.answer(StoreOutcome.DONE);
    steady.advance(1);
    assertThat(lease.isConfirmedSinceWaking()).isTrue();
    assertThat(events).containsExactly("gained");
  }

  @Test
  void whoeverLostTheTermMeanwhileStops() {
    store.holdAnswers();
    suspend(5_000);
    store.answer(StoreOutcome.CONFLICT);
    steady.advance(1);
    assertThat(events).containsExactly("gained", "lost").inOrder();
    assertThat(lease.isConfirmedSinceWaking()).isFalse();
  }

  /** By then the next holder counts on it that this one has stopped. */
  @Test
  void whoeverSleptForTheWholeGraceStopsWithoutAsking() {
    store.holdAnswers();
    suspend(GRACE_MS);
    assertThat(events).containsExactly("gained", "lost").inOrder();
  }

  @Test
  void theHolderTakesItsTermAgainAtOnce() {
    store.vacateOnEnd();
    control.execute(lease::onStoreCameBack);
    control.execute(lease::takeAgain);
    steady.advance(50);
    assertThat(events).containsExactly("gained", "lost", "gained").inOrder();
  }

  /** The older copy lacks its lease; what it knows has to be written before anybody else reads. */
  @Test
  void theHolderGoesOnForWhileWithoutItsLease() {
    store.holdAnswers();
    control.execute(lease::onStoreCameBack);
    steady.advance(400);
    store.answer(StoreOutcome.CONFLICT);
    store.holdAnswers();
    steady.advance(1);
    assertThat(events).containsExactly("gained");
    steady.advance(1_000);
    store.answer(StoreOutcome.CONFLICT);
    steady.advance(1);
    assertThat(events).containsExactly("gained", "lost").inOrder();
  }

  @Test
  void othersLetTheFormerHolderGoFirst() {
    store.vacateOnEnd();
    control.execute(lease::onStoreCameBack);
    control.execute(() -> lease.renounce("test"));
    steady.advance(1_000);
    assertThat(events).containsExactly("gained", "lost").inOrder();
    steady.advance(1_000);
    assertThat(events).containsExactly("gained", "lost", "gained").inOrder();
  }

  private void suspend(long forMs) {
    suspendedMs += forMs;
    control.execute(lease::onWoken);
    steady.advance(0);
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
