package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.OwnershipRecord;
import io.cuminvalve.core.lease.OwnershipTable;
import io.cuminvalve.core.lease.RangeAssignment;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.wire.RecordCodec;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StartupReaderTest {

  private static final long SENT_MS = 7;
  private static final ServiceId SERVICE = new ServiceId("core");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final FleetTarget TARGET =
      new FleetTarget(A, SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, TargetPhase.READY, 0);

  private final MemoryStore memory = new MemoryStore();
  private final RecordCodec codec = new RecordCodec();
  private final ControlThread control = new ControlThread("test", FailureHandler.logging());
  private final CompletableFuture<List<FleetTarget>> targets = new CompletableFuture<>();
  private final CompletableFuture<Void> noTargets = new CompletableFuture<>();
  private final CompletableFuture<List<ServiceRanges>> owners = new CompletableFuture<>();

  @AfterEach
  void tearDown() {
    control.close();
  }

  @Test
  void ownersOfTheLastHolderAreReported() {
    RangeAssignment settled = new RangeAssignment(0, 9, A, List.of(), List.of());
    RangeAssignment moving = new RangeAssignment(10, 65_535, B, List.of(A), List.of());
    write(new OwnershipTable(SERVICE, List.of(settled, moving)));
    read(true);
    assertThat(targets.join()).containsExactly(TARGET);
    assertThat(owners.join())
        .containsExactly(
            new ServiceRanges(
                SERVICE,
                List.of(new RangeRoute(0, 9, A, true), new RangeRoute(10, 65_535, B, false))));
  }

  @Test
  void unavailableRegistryReportsNoTargets() {
    read(false);
    assertThat(targets.isDone()).isFalse();
    assertThat(noTargets.isDone()).isTrue();
    assertThat(owners.isDone()).isFalse();
  }

  @Test
  void unreadableRecordIsIgnored() {
    memory.write(OwnershipStore.KEY, new byte[] {1, 2}, KeyValueStore.ABSENT, Optional.empty());
    read(true);
    assertThat(owners.isDone()).isFalse();
  }

  private void write(OwnershipTable table) {
    byte[] bytes = codec.encode(new OwnershipRecord(7, List.of(table), List.of(), 0));
    memory.write(OwnershipStore.KEY, bytes, KeyValueStore.ABSENT, Optional.empty());
  }

  private void read(boolean registryAnswers) {
    GatewayPorts ports =
        new GatewayPorts(
            memory, "configuration", null, null, new Registry(registryAnswers), null, null);
    DecisionLog log = new DecisionLog(() -> 0, 100, line -> {});
    StartupReader reader =
        new StartupReader(ports, control, () -> SENT_MS, log, codec, new Results());
    control.execute(reader::readOwners);
    control.execute(reader::listTargets);
    for (int round = 0; round < 5; round++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      control.execute(() -> done.complete(null));
      done.join();
    }
  }

  /** Records the results. */
  private final class Results implements StartupReader.Listener {

    @Override
    public void onTargets(List<FleetTarget> found, UpperTime asOf) {
      assertThat(asOf).isEqualTo(new UpperTime(SENT_MS));
      targets.complete(found);
    }

    @Override
    public void onTargetsUnavailable() {
      noTargets.complete(null);
    }

    @Override
    public void onOwners(List<ServiceRanges> found) {
      owners.complete(found);
    }
  }

  /** A registry that has one target or is unavailable. */
  private record Registry(boolean answers) implements TargetRegistry {

    @Override
    public CompletableFuture<RegistryListing> list() {
      RegistryListing listing = new RegistryListing(true, List.of(TARGET), List.of(), 1, 0);
      return CompletableFuture.completedFuture(answers ? listing : RegistryListing.unavailable());
    }

    @Override
    public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
      throw new UnsupportedOperationException();
    }
  }
}
