package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.quarantine.CrashReport;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class QuarantineStoreTest {

  private final MemoryStore memory = new MemoryStore();
  private final ControlThread control = new ControlThread("test", FailureHandler.logging());
  private final DecisionLog log = new DecisionLog(() -> 0, 100, line -> {});
  private final List<CrashUpdate> read = new ArrayList<>();
  private final QuarantineStore first = quarantineStore(update -> {});
  private final QuarantineStore second = quarantineStore(read::add);

  @AfterEach
  void tearDown() {
    control.close();
  }

  @Test
  void nextHolderReadsStoredQuarantine() {
    run(first::open);
    run(() -> first.persist(update(1)));
    run(() -> first.persist(update(2)));
    run(second::open);
    assertThat(read).containsExactly(update(2));
  }

  @Test
  void gatewayWithoutTermWritesNothing() {
    run(() -> first.persist(update(1)));
    run(first::open);
    run(first::close);
    run(() -> first.persist(update(1)));
    run(second::open);
    assertThat(read).isEmpty();
  }

  @Test
  void valueOfAnotherHolderIsReadBeforeItIsReplaced() {
    run(first::open);
    run(second::open);
    run(() -> first.persist(update(1)));
    run(() -> second.persist(update(2)));
    assertThat(read).containsExactly(update(1));
    run(second::open);
    assertThat(read).containsExactly(update(1), update(2)).inOrder();
  }

  @Test
  void writeWithoutResponseIsReadBack() {
    run(second::open);
    memory.loseNextAnswer();
    run(() -> second.persist(update(1)));
    run(() -> second.persist(update(2)));
    run(second::open);
    assertThat(read.get(read.size() - 1)).isEqualTo(update(2));
  }

  @Test
  void unreadableValueIsReplaced() {
    memory.write(QuarantineStore.KEY, new byte[] {1, 2}, KeyValueStore.ABSENT, Optional.empty());
    run(second::open);
    run(() -> second.persist(update(3)));
    run(second::open);
    assertThat(read).containsExactly(update(3));
  }

  private QuarantineStore quarantineStore(Consumer<CrashUpdate> onRead) {
    return new QuarantineStore(memory, control, log, new RecordCodec(), onRead);
  }

  private static CrashUpdate update(int number) {
    RequestFingerprint fingerprint = new RequestFingerprint(number);
    TargetId target = new TargetId("core-" + number);
    return new CrashUpdate(
        false,
        List.of(
            new CrashReport(
                fingerprint,
                List.of(new CrashReport.ReportedRun(target, fingerprint, 20, 10)),
                CrashReport.NOT_ANSWERED)));
  }

  /** Runs a task and its follow-up tasks on the control thread. */
  private void run(Runnable task) {
    control.execute(task);
    for (int i = 0; i < 10; i++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      control.execute(() -> done.complete(null));
      done.join();
    }
  }
}
