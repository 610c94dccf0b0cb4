package io.cuminvalve.controller.operation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.admin.AdminRequest;
import io.cuminvalve.admin.AdminResponse;
import io.cuminvalve.admin.AdminRoute;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.admin.AdminPaths;
import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.ChangeRecord;
import io.cuminvalve.config.admin.DrainReport;
import io.cuminvalve.config.admin.DrainRequest;
import io.cuminvalve.config.admin.HistoryReport;
import io.cuminvalve.config.admin.StatusReport;
import io.cuminvalve.config.admin.TargetStatus;
import io.cuminvalve.controller.cell.CellRunner;
import io.cuminvalve.controller.cell.CellSupervisor;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Answers operators: status, why a key is where it is, what changed, and drains.
 *
 * <p>Called on threads of the admin server; the state is read on the control thread.
 *
 * @since 0.1
 */
public final class OperatorRoutes {

  private static final int OK = 200;
  private static final long CONTROL_TIMEOUT_MS = 2_000;
  private static final JsonMapper JSON = JsonMappers.strict();

  private final ControllerId controller;
  private final CellSupervisor supervisor;
  private final Executor control;
  private final OperationRecorder recorder;
  private final ChangeHistory history;
  private final CellReports reports;

  /**
   * Creates the routes.
   *
   * @param controller this controller; not null
   * @param supervisor runs the cells; not null
   * @param control the control thread; not null
   * @param recorder remembers orders of operators; not null
   * @param history what it remembers; not null
   * @param clock the process's clock; not null
   * @param epochMs the time of day, only shown to operators; milliseconds since 1970; not null
   */
  public OperatorRoutes(
      ControllerId controller,
      CellSupervisor supervisor,
      Executor control,
      OperationRecorder recorder,
      ChangeHistory history,
      MillisClock clock,
      LongSupplier epochMs) {
    this.controller = controller;
    this.supervisor = supervisor;
    this.control = control;
    this.recorder = recorder;
    this.history = history;
    this.reports = new CellReports(controller, recorder, clock::nowMs, epochMs);
  }

  /**
   * Returns the routes of the admin port.
   *
   * @return never null
   */
  public List<AdminRoute> routes() {
    return List.of(
        new AdminRoute("GET", AdminPaths.STATUS, request -> json(status())),
        new AdminRoute("GET", AdminPaths.EXPLAIN_KEY, this::explainKey),
        new AdminRoute("GET", AdminPaths.HISTORY, this::history),
        new AdminRoute("POST", AdminPaths.DRAINS, this::drain));
  }

  /**
   * Returns the status as JSON.
   *
   * @return never null
   */
  public String statusJson() {
    return write(status());
  }

  private StatusReport status() {
    return onControl(
        () -> {
          List<CellStatus> cells = new ArrayList<>();
          for (CellRunner runner : supervisor.runners()) {
            cells.add(reports.status(runner, supervisor.follower().configuration()));
          }
          return new StatusReport(controller, cells);
        });
  }

  private AdminResponse explainKey(AdminRequest request) {
    CellId cell = new CellId(required(request, "cell"));
    String key = required(request, "key");
    return json(onControl(() -> reports.explain(leader(cell), key)));
  }

  private AdminResponse history(AdminRequest request) {
    Optional<CellId> cell = request.parameter("cell").map(CellId::new);
    List<ChangeRecord> changes = new ArrayList<>(history.list(cell));
    changes.addAll(onControl(() -> movesOf(cell)));
    changes.sort(Comparator.comparingLong(ChangeRecord::atEpochMs).reversed());
    return json(new HistoryReport(changes));
  }

  private List<ChangeRecord> movesOf(Optional<CellId> cell) {
    return supervisor.runners().stream()
        .filter(runner -> cell.isEmpty() || runner.id().equals(cell.get()))
        .flatMap(runner -> reports.moves(runner).stream())
        .toList();
  }

  private AdminResponse drain(AdminRequest request) {
    DrainRequest order = read(request.body());
    return json(onControl(() -> applyDrain(order)));
  }

  private DrainReport applyDrain(DrainRequest order) {
    CellRunner runner = leader(cellOf(order.target()));
    recorder.record(
        runner.id(),
        runner.status().issued(),
        order.cancel() ? "DRAIN_ENDED" : "DRAIN",
        order.requestedBy(),
        order.target() + ": " + order.reason());
    runner.onDrain(order.target(), order.cancel());
    TargetStatus target =
        reports.status(runner, supervisor.follower().configuration()).targets().stream()
            .filter(candidate -> candidate.id().equals(order.target()))
            .findFirst()
            .orElseThrow();
    return new DrainReport(runner.id(), order.target(), target.state(), target.ownedShards());
  }

  private CellId cellOf(TargetId target) {
    return supervisor.follower().configuration().stream()
        .flatMap(configuration -> configuration.inventory().instances().stream())
        .filter(instance -> instance.id().equals(target))
        .map(instance -> new CellId(instance.service().value()))
        .findFirst()
        .orElseThrow(
            () ->
                new CodedException(
                    ErrorCode.INVALID_INPUT, "the inventory has no target " + target));
  }

  private CellRunner leader(CellId cell) {
    CellRunner runner =
        supervisor
            .runner(cell)
            .orElseThrow(
                () -> new CodedException(ErrorCode.INVALID_INPUT, "there is no cell " + cell));
    if (!runner.isLeading()) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE,
          "this controller does not hold the term of "
              + cell
              + "; ask "
              + runner.holderName().orElse("another one"));
    }
    return runner;
  }

  private <T> T onControl(Supplier<T> question) {
    CompletableFuture<T> answer = CompletableFuture.supplyAsync(question, control);
    try {
      return answer.get(CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException late) {
      throw new CodedException(ErrorCode.TIMEOUT, "the control thread is busy or stopped", late);
    } catch (InterruptedException interrupt) {
      Thread.currentThread().interrupt();
      throw new CodedException(ErrorCode.TIMEOUT, "interrupted", interrupt);
    } catch (ExecutionException failure) {
      if (failure.getCause() instanceof CodedException coded) {
        throw new CodedException(coded.code(), coded.getMessage(), coded);
      }
      throw new CodedException(ErrorCode.INTERNAL, "unexpected failure", failure);
    }
  }

  private static String required(AdminRequest request, String name) {
    return request
        .parameter(name)
        .orElseThrow(
            () -> new CodedException(ErrorCode.INVALID_INPUT, "parameter missing: " + name));
  }

  private static DrainRequest read(byte[] body) {
    try {
      DrainRequest order = JSON.readValue(body, DrainRequest.class);
      if (order == null || order.target() == null || order.requestedBy() == null) {
        throw new CodedException(ErrorCode.INVALID_INPUT, "target or requestedBy is missing");
      }
      return order;
    } catch (IOException malformed) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT,
          "no drain request in JSON: " + malformed.getMessage(),
          malformed);
    }
  }

  private static AdminResponse json(Object document) {
    return AdminResponse.json(OK, write(document));
  }

  private static String write(Object document) {
    try {
      return JSON.writeValueAsString(document);
    } catch (JsonProcessingException impossible) {
      throw new CodedException(ErrorCode.INTERNAL, "answer cannot be written", impossible);
    }
  }
}
