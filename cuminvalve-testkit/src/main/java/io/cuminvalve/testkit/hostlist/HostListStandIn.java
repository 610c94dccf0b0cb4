package io.cuminvalve.testkit.hostlist;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.testkit.http.Exchange;
import io.cuminvalve.testkit.http.FaultControl;
import io.cuminvalve.testkit.http.HttpStandIn;
import io.cuminvalve.testkit.time.TaskScheduler;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the platform's host list, which lags and may be wrong.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class HostListStandIn implements AutoCloseable {

  private static final String PATH = "/v1/hosts";
  private static final String REPORTS = "/standin/hosts/";

  private record Host(String id, HostState state) {}

  private record HostsAnswer(List<Host> hosts) {}

  private final TaskScheduler scheduler;
  private final Map<TargetId, HostState> shown = new TreeMap<>();
  private final HostListFaults faults = new HostListFaults();
  private final HttpStandIn http;

  /**
   * Creates an empty list that is not started yet.
   *
   * @param scheduler delays what the list shows; not null
   * @param port the port, or 0 for any free one
   */
  public HostListStandIn(TaskScheduler scheduler, int port) {
    this.scheduler = scheduler;
    this.http =
        new HttpStandIn(
            "host-list", port, 0, FaultControl.wrap(faults, this::snapshot, this::serve));
  }

  /** Starts to listen. */
  public void start() {
    http.start();
  }

  @Override
  public void close() {
    http.stop();
  }

  /**
   * Returns the address.
   *
   * @return IP number and port
   */
  public String address() {
    return http.address();
  }

  /**
   * Returns the fault switches.
   *
   * @return live switches; never null
   */
  public HostListFaults faults() {
    return faults;
  }

  /**
   * Tells the list about a host; it shows after the lag.
   *
   * @param target the target on the host; not null
   * @param state what became of it; not null
   */
  public void report(TargetId target, HostState state) {
    afterLag(() -> show(target, state));
  }

  /**
   * Takes a host off the list; it disappears after the lag.
   *
   * @param target the target on the host; not null
   */
  public void remove(TargetId target) {
    afterLag(() -> hide(target));
  }

  private void afterLag(Runnable change) {
    long lagMs = faults.getLagMs();
    if (lagMs == 0) {
      change.run();
    } else {
      scheduler.schedule(lagMs, change);
    }
  }

  private synchronized void show(TargetId target, HostState state) {
    shown.put(target, state);
  }

  private synchronized void hide(TargetId target) {
    shown.remove(target);
  }

  private synchronized HostsAnswer snapshot() {
    return new HostsAnswer(
        shown.entrySet().stream()
            .map(entry -> new Host(entry.getKey().value(), distort(entry.getValue())))
            .toList());
  }

  private HostState distort(HostState state) {
    if (!faults.isInverted()) {
      return state;
    }
    return state == HostState.LIVE ? HostState.LEAVING : HostState.LIVE;
  }

  private void serve(Exchange exchange) {
    if (exchange.path().startsWith(REPORTS)) {
      serveReport(exchange, new TargetId(exchange.path().substring(REPORTS.length())));
    } else if (faults.isDown()) {
      exchange.drop();
    } else if (exchange.path().equals(PATH)) {
      exchange.answerJson(200, snapshot());
    } else {
      exchange.answer(404);
    }
  }

  /** {@code PUT /standin/hosts/ID?state=LEAVING} or DELETE, for experiments in other processes. */
  private void serveReport(Exchange exchange, TargetId target) {
    if (exchange.method().equals("DELETE")) {
      remove(target);
    } else {
      report(target, HostState.valueOf(exchange.query("state", HostState.LIVE.name())));
    }
    exchange.answer(200);
  }
}
