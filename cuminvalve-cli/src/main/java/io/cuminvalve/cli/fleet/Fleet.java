package io.cuminvalve.cli.fleet;

import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.admin.AdminPaths;
import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.DrainReport;
import io.cuminvalve.config.admin.DrainRequest;
import io.cuminvalve.config.admin.HistoryReport;
import io.cuminvalve.config.admin.KeyReport;
import io.cuminvalve.config.admin.RequestReport;
import io.cuminvalve.config.admin.StatusReport;
import io.cuminvalve.config.admin.TargetStatus;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Asks all processes and keeps the answer that counts.
 *
 * @since 0.1
 */
public final class Fleet {

  /** The newer term counts; within a term, the controller that holds it. */
  private static final Comparator<Source> AUTHORITY =
      Comparator.<Source>comparingLong(source -> source.status().term())
          .thenComparing(source -> source.status().holding());

  private final AdminClient client;
  private final List<InetSocketAddress> controllers;
  private final List<InetSocketAddress> routers;

  /**
   * Creates a view.
   *
   * @param client calls admin ports; not null
   * @param controllers admin addresses of all controllers; not null
   * @param routers admin addresses of all routers; not null
   */
  public Fleet(
      AdminClient client, List<InetSocketAddress> controllers, List<InetSocketAddress> routers) {
    this.client = client;
    this.controllers = List.copyOf(controllers);
    this.routers = List.copyOf(routers);
  }

  private record Source(InetSocketAddress controller, CellStatus status) {}

  /**
   * Returns the state of every cell.
   *
   * @return one entry for each cell that a controller knows, in the order of their identifiers
   * @throws CodedException with code UNAVAILABLE if no controller answers
   */
  public List<CellStatus> cells() {
    return sources().values().stream().map(Source::status).toList();
  }

  /**
   * Returns the states of all targets, as far as they are known.
   *
   * @return empty if no controller answers
   */
  public Map<TargetId, TargetState> targetStates() {
    Map<TargetId, TargetState> states = new HashMap<>();
    try {
      for (CellStatus cell : cells()) {
        cell.targets().forEach(target -> putState(states, target));
      }
    } catch (CodedException e) {
      return Map.of();
    }
    return states;
  }

  /** Leaves out states that this version does not know. */
  private static void putState(Map<TargetId, TargetState> states, TargetStatus target) {
    for (TargetState state : TargetState.values()) {
      if (state.name().equals(target.state())) {
        states.put(target.id(), state);
      }
    }
  }

  /**
   * Explains where a key is served.
   *
   * @param cell the cell; not null
   * @param key the key; not null
   * @return the answer of the cell's holder
   */
  public KeyReport explainKey(CellId cell, String key) {
    String query = "?cell=" + encode(cell.value()) + "&key=" + encode(key);
    return client.get(holderOf(cell), AdminPaths.EXPLAIN_KEY + query, KeyReport.class);
  }

  /**
   * Returns what a cell's holder remembers of its changes.
   *
   * @param cell the cell; not null
   * @return newest first
   */
  public HistoryReport history(CellId cell) {
    String query = "?cell=" + encode(cell.value());
    return client.get(holderOf(cell), AdminPaths.HISTORY + query, HistoryReport.class);
  }

  /**
   * Asks the holder of the target's cell to drain it.
   *
   * @param request what to drain; not null
   * @return how far it has come
   * @throws CodedException with code INVALID_INPUT if no cell has such a target
   */
  public DrainReport drain(DrainRequest request) {
    Source source =
        sources().values().stream()
            .filter(candidate -> hasTarget(candidate.status(), request))
            .findFirst()
            .orElseThrow(
                () ->
                    new CodedException(
                        ErrorCode.INVALID_INPUT, "no cell has target " + request.target()));
    return client.post(source.controller(), AdminPaths.DRAINS, request, DrainReport.class);
  }

  /**
   * Finds the router that remembers a request.
   *
   * @param request the request; not null
   * @return what it remembers
   * @throws CodedException with code INVALID_INPUT if all routers answered and none remembers it,
   *     with UNAVAILABLE if none does and some did not answer
   */
  public RequestReport explainRequest(RequestId request) {
    String path = AdminPaths.REQUESTS + encode(request.value());
    List<String> silent = new ArrayList<>();
    String lastRefusal = "no router is listed in the settings";
    for (InetSocketAddress router : routers) {
      try {
        return client.get(router, path, RequestReport.class);
      } catch (CodedException e) {
        if (e.code() != ErrorCode.INVALID_INPUT) {
          silent.add(IpAddresses.format(router));
        }
        lastRefusal = e.getMessage();
      }
    }
    if (!silent.isEmpty()) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE, "no answer from router(s) " + String.join(", ", silent));
    }
    throw new CodedException(
        ErrorCode.INVALID_INPUT,
        "no router remembers request " + request + "; the last said: " + lastRefusal);
  }

  private static boolean hasTarget(CellStatus status, DrainRequest request) {
    return status.targets().stream().anyMatch(target -> target.id().equals(request.target()));
  }

  private InetSocketAddress holderOf(CellId cell) {
    Source source = sources().get(cell);
    if (source == null) {
      throw new CodedException(ErrorCode.INVALID_INPUT, "no controller knows cell " + cell);
    }
    return source.controller();
  }

  private Map<CellId, Source> sources() {
    Map<CellId, Source> best = new TreeMap<>();
    CodedException lastFailure = null;
    int answerCount = 0;
    for (InetSocketAddress controller : controllers) {
      try {
        StatusReport report = client.get(controller, AdminPaths.STATUS, StatusReport.class);
        answerCount++;
        for (CellStatus status : report.cells()) {
          best.merge(status.cell(), new Source(controller, status), Fleet::moreAuthoritative);
        }
      } catch (CodedException e) {
        lastFailure = e;
      }
    }
    if (answerCount == 0 && lastFailure != null) {
      throw new CodedException(
          lastFailure.code(), "no controller answers; the last: " + lastFailure.getMessage());
    }
    return best;
  }

  private static Source moreAuthoritative(Source first, Source second) {
    return AUTHORITY.compare(second, first) > 0 ? second : first;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
