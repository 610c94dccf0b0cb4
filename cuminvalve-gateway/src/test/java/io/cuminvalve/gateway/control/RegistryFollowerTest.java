package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RegistryFollowerTest {

  private static final FleetTarget A = target("a");
  private static final FleetTarget B = target("b");

  private final ControlThread control = new ControlThread("test", FailureHandler.logging());
  private final AtomicLong nowMs = new AtomicLong();
  private final Registry registry = new Registry();
  private final LinkedBlockingQueue<String> notifications = new LinkedBlockingQueue<>();
  private final RegistryFollower follower =
      new RegistryFollower(
          registry,
          control,
          nowMs::get,
          new DecisionLog(() -> 0, 100, line -> {}),
          List.of(),
          UpperTime.NEVER,
          () -> notifications.add("change"));

  @AfterEach
  void tearDown() {
    control.execute(follower::close);
    control.close();
  }

  @Test
  void unchangedRegistryDoesNotCountAsStale() throws InterruptedException {
    control.execute(follower::start);
    long waitMs = registry.waits.take();
    assertThat(RegistryFollower.PACE_MS + waitMs).isLessThan(FleetLink.STALE_REGISTRY_MS);
  }

  @Test
  void changesAreReported() throws InterruptedException {
    registry.listed = List.of(A);
    control.execute(follower::start);
    notifications.take();
    registry.waits.take();
    registry.answer(
        new RegistryChanges(
            RegistryChanges.Status.ANSWERED, List.of(B), List.of(A.id()), List.of(), 9));
    notifications.take();
    assertThat(follower.register().all()).containsExactly(B);
  }

  @Test
  void entriesThatExpiredInOutageAreKeptForSomeTime() throws InterruptedException {
    registry.listed = List.of(A);
    control.execute(follower::start);
    notifications.take();
    registry.waits.take();
    registry.answer(RegistryChanges.none(RegistryChanges.Status.UNAVAILABLE));
    registry.waits.take();
    nowMs.addAndGet(5_000);
    registry.answer(
        new RegistryChanges(
            RegistryChanges.Status.ANSWERED, List.of(), List.of(A.id()), List.of(), 9));
    registry.waits.take();
    assertThat(follower.register().all()).containsExactly(A);
    nowMs.addAndGet(5_000);
    registry.answer(
        new RegistryChanges(RegistryChanges.Status.ANSWERED, List.of(), List.of(), List.of(), 10));
    notifications.take();
    assertThat(follower.register().all()).isEmpty();
  }

  @Test
  void entriesThatAnOlderCopyLacksAreKeptForSomeTime() throws InterruptedException {
    registry.listed = List.of(A, B);
    control.execute(follower::start);
    notifications.take();
    registry.waits.take();
    registry.listed = List.of(A);
    registry.epoch = 1;
    registry.answer(RegistryChanges.none(RegistryChanges.Status.HISTORY_LOST));
    registry.waits.take();
    assertThat(follower.register().all()).containsExactly(A, B);
    nowMs.addAndGet(5_000);
    registry.answer(
        new RegistryChanges(RegistryChanges.Status.ANSWERED, List.of(), List.of(), List.of(), 10));
    notifications.take();
    assertThat(follower.register().all()).containsExactly(A);
  }

  @Test
  void removedEntryRemovesTheKnownRun() throws InterruptedException {
    registry.listed = List.of(target("a@10"));
    control.execute(follower::start);
    notifications.take();
    registry.waits.take();
    registry.answer(
        new RegistryChanges(
            RegistryChanges.Status.ANSWERED, List.of(), List.of(A.id()), List.of(), 9));
    notifications.take();
    assertThat(follower.register().all()).isEmpty();
  }

  private static FleetTarget target(String id) {
    return new FleetTarget(
        new TargetId(id),
        new ServiceId("core"),
        "10.0.0.1:80",
        new DataCentreId("dc"),
        4,
        TargetPhase.READY,
        0);
  }

  /** Responds to calls for changes when the test triggers it. */
  private static final class Registry implements TargetRegistry {

    private final LinkedBlockingQueue<Long> waits = new LinkedBlockingQueue<>();
    private volatile List<FleetTarget> listed = List.of();
    private volatile long epoch;
    private volatile CompletableFuture<RegistryChanges> pending;

    @Override
    public CompletableFuture<RegistryListing> list() {
      return CompletableFuture.completedFuture(
          new RegistryListing(true, listed, List.of(), 1, epoch));
    }

    @Override
    public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
      CompletableFuture<RegistryChanges> next = new CompletableFuture<>();
      pending = next;
      waits.add(waitMs);
      return next;
    }

    void answer(RegistryChanges changes) {
      pending.complete(changes);
    }
  }
}
