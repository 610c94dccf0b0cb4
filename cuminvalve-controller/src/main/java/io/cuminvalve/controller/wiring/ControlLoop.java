package io.cuminvalve.controller.wiring;

import io.cuminvalve.admin.ReadinessCheck;
import io.cuminvalve.controller.cell.CellRunner;
import io.cuminvalve.controller.cell.CellSupervisor;
import io.cuminvalve.controller.operation.ControllerMetrics;
import io.cuminvalve.controller.operation.OperationRecorder;
import io.cuminvalve.core.authority.CellStatus;
import io.cuminvalve.core.authority.ControllerRole;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.wire.TcpPeerNetwork;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.tinylog.Logger;

/**
 * Lets time pass in all cells, and shows their state to operators.
 *
 * @since 0.1
 */
@Singleton
public final class ControlLoop implements ManagedService {

  private static final long TICK_MS = 10;
  private static final long SHOW_MS = 200;
  private static final long RELEASE_TIMEOUT_MS = 2_000;

  /** So many ticks in a row have to fail before the controller gives up. */
  private static final int MAX_FAILED_TICKS = 100;

  private final CellSupervisor supervisor;
  private final ControlThread control;
  private final TcpPeerNetwork network;
  private final ControllerMetrics metrics;
  private final OperationRecorder recorder;
  private final CompletableFuture<Throwable> failed = new CompletableFuture<>();
  private volatile Problems problems = new Problems("not started", "", "");
  private volatile boolean abrupt;

  @Inject
  ControlLoop(
      CellSupervisor supervisor,
      ControlThread control,
      TcpPeerNetwork network,
      ControllerMetrics metrics,
      OperationRecorder recorder) {
    this.supervisor = supervisor;
    this.control = control;
    this.network = network;
    this.metrics = metrics;
    this.recorder = recorder;
  }

  /** Starts the loop. */
  @Override
  public void start() {
    control.scheduleRepeatedly(
        new TickGuard(supervisor::tick, MAX_FAILED_TICKS, this::giveUp), TICK_MS);
    control.scheduleRepeatedly(this::show, SHOW_MS);
  }

  /** Gives up every term, unless the stop is to look like a crash, and ends the control thread. */
  @Override
  public void stop() {
    try {
      if (!abrupt) {
        release();
      }
    } finally {
      control.close();
    }
  }

  /**
   * Tells when the controller has given up because of a fault of its own.
   *
   * @return completes with the fault; never if there is none
   */
  public CompletableFuture<Throwable> failed() {
    return failed;
  }

  /** Makes the next stop look like a crash: nothing is given up. */
  public void beAbrupt() {
    abrupt = true;
  }

  /**
   * Returns the conditions of readiness.
   *
   * @return never null
   */
  public List<ReadinessCheck> checks() {
    return List.of(
        new ReadinessCheck("configuration", () -> nonEmpty(problems.configuration())),
        new ReadinessCheck("store", () -> nonEmpty(problems.store())),
        new ReadinessCheck("holder", () -> nonEmpty(problems.holder())));
  }

  /**
   * Gives the terms up: a holder that cannot let time pass would still answer those who wait for
   * its term.
   */
  private void giveUp(RuntimeException failure) {
    Logger.error(failure, "{} ticks in a row failed: giving up", MAX_FAILED_TICKS);
    failed.complete(failure);
    var unused = supervisor.release();
  }

  private void release() {
    CompletableFuture<Void> released =
        CompletableFuture.supplyAsync(supervisor::release, control).thenCompose(ended -> ended);
    try {
      released.get(RELEASE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException unreachable) {
      // The others take over once the lease of the store lapses.
      Logger.warn("The term could not be given up: {}", unreachable.toString());
    } catch (InterruptedException interrupt) {
      Thread.currentThread().interrupt();
      throw new CodedException(ErrorCode.TIMEOUT, "interrupted while giving up the term");
    }
  }

  private void show() {
    List<String> withoutHolder = new ArrayList<>();
    List<String> withoutStore = new ArrayList<>();
    for (CellRunner runner : supervisor.runners()) {
      CellStatus status = runner.status();
      metrics.show(runner.id(), status);
      if (status.role() == ControllerRole.STANDBY && status.holderAddress().isEmpty()) {
        withoutHolder.add(runner.id().value());
      }
      if (!recorder.isStoreReachable(runner.id())) {
        withoutStore.add(runner.id().value());
      }
    }
    metrics.show(network.counters());
    problems =
        new Problems(
            supervisor.follower().problem().orElse(""),
            withoutStore.isEmpty() ? "" : "no answer for " + String.join(", ", withoutStore),
            withoutHolder.isEmpty() ? "" : "unknown for " + String.join(", ", withoutHolder));
  }

  private static Optional<String> nonEmpty(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }

  /** Why the controller is not ready; empty texts where nothing is wrong. */
  private record Problems(String configuration, String store, String holder) {}
}
