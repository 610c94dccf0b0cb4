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

class CrashArchiveTest {

  private final MemoryStore memory = new MemoryStore();
  private final ControlThread control = new ControlThread("test", FailureHandler.logging());
  private final DecisionLog log = new DecisionLog(() -> 0, 100, line -> {});
  private final List<CrashUpdate> read = new ArrayList<>();
  private final CrashArchive first = archive(news -> {});
  private final CrashArchive second = archive(read::add);

  @AfterEach
  void tearDown() {
    control.close();
  }

  @Test
  void theNextHolderReadsWhatTheLastOneKept() {
    run(first::open);
    run(() -> first.keep(news(1)));
    run(() -> first.keep(news(2)));
    run(second::open);
    assertThat(read).containsExactly(news(2));
  }

  @Test
  void whoeverHoldsNoTermWritesNothing() {
    run(() -> first.keep(news(1)));
    run(first::open);
    run(first::close);
    run(() -> first.keep(news(1)));
    run(second::open);
    assertThat(read).isEmpty();
  }

  @Test
  void whatAnotherHolderWroteIsReadBeforeItIsReplaced() {
    run(first::open);
    run(second::open);
    run(() -> first.keep(news(1)));
    run(() -> second.keep(news(2)));
    assertThat(read).containsExactly(news(1));
    run(second::open);
    assertThat(read).containsExactly(news(1), news(2)).inOrder();
  }

  @Test
  void theWriteWithoutAnAnswerIsLookedUp() {
    run(second::open);
    memory.loseNextAnswer();
    run(() -> second.keep(news(1)));
    run(() -> second.keep(news(2)));
    run(second::open);
    assertThat(read.get(read.size() - 1)).isEqualTo(news(2));
  }

  @Test
  void whatCannotBeReadIsReplaced() {
    memory.write(CrashArchive.KEY, new byte[] {1, 2}, KeyValueStore.ABSENT, Optional.empty());
    run(second::open);
    run(() -> second.keep(news(3)));
    run(second::open);
    assertThat(read).containsExactly(news(3));
  }

  private CrashArchive archive(Consumer<CrashUpdate> onRead) {
    return new CrashArchive(memory, control, log, new RecordCodec(), onRead);
  }

  private static CrashUpdate news(int number) {
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

  /** Runs a task on the control thread and all that follows from it. */
  private void run(Runnable task) {
    control.execute(task);
    for (int i = 0; i < 10; i++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      control.execute(() -> done.complete(null));
      done.join();
    }
  }
}
