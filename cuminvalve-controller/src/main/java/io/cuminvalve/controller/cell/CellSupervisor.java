package io.cuminvalve.controller.cell;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.host.Host;
import io.cuminvalve.ports.host.HostList;
import io.cuminvalve.ports.host.HostState;
import io.cuminvalve.wire.PeerChannel;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Runs one cell for each service: those of the settings and those that the configuration adds.
 *
 * <p>All methods run on the control thread.
 *
 * @since 0.1
 */
public final class CellSupervisor {

  private static final long ROLE_MS = 100;
  private static final long HOSTS_MS = 1_000;
  private static final long HEALTH_MS = 1_000;

  private final Executor control;
  private final MillisClock clock;
  private final HostList hostList;
  private final Function<CellId, CellRunner> runnerFactory;
  private final ConfigurationFollower follower;
  private final Map<CellId, CellRunner> runners = new TreeMap<>();
  private boolean hostsInFlight;
  private long nextRoleMs = Long.MIN_VALUE;
  private long nextHostsMs = Long.MIN_VALUE;
  private long nextHealthMs = Long.MIN_VALUE;
  private boolean released;

  /**
   * Creates the cells that the settings name.
   *
   * @param ports what effects need; not null
   * @param hostList the platform's host list; not null
   * @param cells the cells of the settings; not null
   * @param runnerFactory creates the runner of a cell; not null
   */
  public CellSupervisor(
      CellPorts ports,
      HostList hostList,
      List<CellId> cells,
      Function<CellId, CellRunner> runnerFactory) {
    this.control = ports.control();
    this.clock = ports.clock();
    this.hostList = hostList;
    this.runnerFactory = runnerFactory;
    this.follower =
        new ConfigurationFollower(ports.store(), ports.network(), control, this::onConfiguration);
    cells.forEach(this::runnerOf);
  }

  /**
   * Returns the runners of all cells.
   *
   * @return in the order of their ids, never null
   */
  public Collection<CellRunner> runners() {
    return runners.values();
  }

  /**
   * Finds the runner of a cell.
   *
   * @param cell the cell; not null
   * @return empty if there is none
   */
  public Optional<CellRunner> runner(CellId cell) {
    return Optional.ofNullable(runners.get(cell));
  }

  /**
   * Returns the follower of the configuration.
   *
   * @return never null
   */
  public ConfigurationFollower follower() {
    return follower;
  }

  /** Lets time pass. */
  public void tick() {
    if (released) {
      return;
    }
    long nowMs = clock.nowMs();
    runners.values().forEach(CellRunner::tick);
    if (nowMs >= nextRoleMs) {
      nextRoleMs = nowMs + ROLE_MS;
      serveRole(nowMs);
    }
  }

  private void serveRole(long nowMs) {
    boolean leading = runners.values().stream().anyMatch(CellRunner::isLeading);
    if (leading) {
      follower.tickLeading(nowMs);
      pollHosts(nowMs);
      pollHealth(nowMs);
    } else {
      askHolder(nowMs);
    }
  }

  /**
   * Takes a message of a peer. Messages for cells that this controller does not run are ignored.
   *
   * @param sender where it came from; not null
   * @param message the message; not null
   */
  public void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof ConfigPush push) {
      follower.onPush(push);
      return;
    }
    CellRunner runner = runners.get(message.cell());
    if (runner != null) {
      runner.onMessage(message, sender.peerAddress());
    }
  }

  /**
   * Stops deciding and gives up every term.
   *
   * @return completes once the holder's keys are deleted, or cannot be
   */
  public CompletableFuture<Void> release() {
    released = true;
    return CompletableFuture.allOf(
        runners.values().stream().map(CellRunner::release).toArray(CompletableFuture[]::new));
  }

  private CellRunner runnerOf(CellId cell) {
    return runners.computeIfAbsent(cell, runnerFactory);
  }

  private void onConfiguration(Configuration configuration, byte[] json) {
    for (Service service : configuration.inventory().services()) {
      runnerOf(new CellId(service.id().value()));
    }
    runners.values().forEach(runner -> runner.onConfiguration(configuration, json));
  }

  private void askHolder(long nowMs) {
    for (CellRunner runner : runners.values()) {
      String address = runner.status().holderAddress();
      if (!address.isEmpty()) {
        follower.tickWaiting(nowMs, runner.id(), address);
        return;
      }
    }
    runners.keySet().stream().findFirst().ifPresent(cell -> follower.tickWaiting(nowMs, cell, ""));
  }

  private void pollHosts(long nowMs) {
    if (hostsInFlight || nowMs < nextHostsMs) {
      return;
    }
    hostsInFlight = true;
    nextHostsMs = nowMs + HOSTS_MS;
    hostList.hosts().thenAccept(hosts -> control.execute(() -> onHosts(hosts)));
  }

  private void onHosts(Optional<List<Host>> hosts) {
    hostsInFlight = false;
    if (hosts.isEmpty() || released) {
      return;
    }
    Set<String> leaving =
        hosts.get().stream()
            .filter(host -> host.state() == HostState.LEAVING)
            .map(Host::id)
            .collect(Collectors.toSet());
    for (CellRunner runner : runners.values()) {
      Set<TargetId> targets =
          targetsOf(runner).stream()
              .filter(target -> leaving.contains(target.value()))
              .collect(Collectors.toSet());
      runner.onHostList(targets);
    }
  }

  private void pollHealth(long nowMs) {
    if (nowMs < nextHealthMs) {
      return;
    }
    nextHealthMs = nowMs + HEALTH_MS;
    for (CellRunner runner : runners.values()) {
      if (runner.isLeading()) {
        runner.pollHealth(targetsOf(runner));
      }
    }
  }

  private List<TargetId> targetsOf(CellRunner runner) {
    return follower.configuration().stream()
        .flatMap(configuration -> configuration.inventory().instances().stream())
        .filter(instance -> instance.service().value().equals(runner.id().value()))
        .map(Instance::id)
        .toList();
  }
}
