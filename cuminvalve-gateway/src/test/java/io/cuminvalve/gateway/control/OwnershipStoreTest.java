package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.lease.OwnershipRecord;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OwnershipStoreTest {

  private final MemoryStore memory = new MemoryStore();
  private final ControlThread control = new ControlThread("test", FailureHandler.logging());
  private final DecisionLog log = new DecisionLog(() -> 0, 100, line -> {});
  private final OwnershipStore earlier =
      new OwnershipStore(memory, control, log, new RecordCodec(), 2);
  private final OwnershipStore later =
      new OwnershipStore(memory, control, log, new RecordCodec(), 37);
  private final List<Long> conflictingTerms = new ArrayList<>();

  @AfterEach
  void tearDown() {
    control.close();
  }

  @Test
  void theHolderThatReadOneLaterRecordNeverReplacesIt() {
    read(earlier);
    read(later);
    write(later);
    write(earlier);
    assertThat(conflictingTerms).containsExactly(37L);
    write(earlier);
    assertThat(termInStore()).isEqualTo(37);
  }

  @Test
  void theEarlierRecordBeforeTheFirstWriteIsTakenOver() {
    read(earlier);
    read(later);
    write(earlier);
    write(later);
    assertThat(conflictingTerms).containsExactly(2L);
    write(later);
    assertThat(termInStore()).isEqualTo(37);
  }

  @Test
  void theWriteWithoutAnAnswerIsReadBack() {
    read(earlier);
    memory.loseNextAnswer();
    write(earlier);
    assertThat(conflictingTerms).isEmpty();
    assertThat(earlier.isWriting()).isFalse();
    write(earlier);
    assertThat(termInStore()).isEqualTo(2);
  }

  private void read(OwnershipStore store) {
    control.execute(() -> store.read(found -> {}));
    runPendingTasks();
  }

  private void write(OwnershipStore store) {
    control.execute(
        () -> {
          if (!store.isWriting()) {
            store.write(
                List.of(),
                target -> Optional.empty(),
                () -> {},
                found -> conflictingTerms.add(found.map(OwnershipRecord::term).orElse(0L)));
          }
        });
    runPendingTasks();
  }

  private long termInStore() {
    CompletableFuture<Optional<OwnershipRecord>> read = new CompletableFuture<>();
    OwnershipStore reader = new OwnershipStore(memory, control, log, new RecordCodec(), 99);
    control.execute(() -> reader.read(read::complete));
    return read.join().orElseThrow().term();
  }

  /**
   * Waits until pending work is done. Every store call is answered at once, so a few turns of the
   * control thread are enough.
   */
  private void runPendingTasks() {
    for (int i = 0; i < 5; i++) {
      CompletableFuture<Void> turn = new CompletableFuture<>();
      control.execute(() -> turn.complete(null));
      turn.join();
    }
  }
}
