package io.cuminvalve.router.control;

import io.cuminvalve.core.authority.RouterCell;
import io.cuminvalve.core.authority.RouterEffect;
import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.target.TargetDirectory;
import io.cuminvalve.router.target.TargetRecord;
import io.cuminvalve.wire.PeerNetwork;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Runs the authority decisions of one cell: feeds events to its {@link RouterCell} and carries out
 * the effects.
 *
 * <p>Runs on the control thread.
 *
 * @since 0.1
 */
public final class CellRunner {

  /** How often the holder learns the load that this router measured. */
  private static final long LOAD_REPORT_MS = 2_000;

  private final CellId id;
  private final RouterCell cell;
  private final CellDesks desks;
  private final PeerNetwork network;
  private final ConfigurationInstaller installer;
  private final TargetDirectory directory;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final Runnable onViewChanged;
  private final CompletableFuture<Void> left = new CompletableFuture<>();
  private HolderFinder finder;
  private TableVersion deskVersion = TableVersion.NONE;
  private long deskRevision;
  private String holderAddress = "";
  private long loadReportedAtMs;

  /**
   * Creates a runner.
   *
   * @param id the cell; not null
   * @param cell its decisions; not null
   * @param desks its admission and intents; not null
   * @param network carries messages; not null
   * @param installer puts configurations into force; not null
   * @param directory the targets that are observed; not null
   * @param metrics shows the state; not null
   * @param clock this router's clock; not null
   * @param onViewChanged called when traffic threads see a new view; not null
   */
  public CellRunner(
      CellId id,
      RouterCell cell,
      CellDesks desks,
      PeerNetwork network,
      ConfigurationInstaller installer,
      TargetDirectory directory,
      RouterMetrics metrics,
      MillisClock clock,
      Runnable onViewChanged) {
    this.id = id;
    this.cell = cell;
    this.desks = desks;
    this.network = network;
    this.installer = installer;
    this.directory = directory;
    this.metrics = metrics;
    this.clock = clock;
    this.onViewChanged = onViewChanged;
  }

  /**
   * Sets what finds the holder; to be called before the first event.
   *
   * @param newFinder the finder, which reports to {@link #onHolderAddress}; not null
   */
  public void useFinder(HolderFinder newFinder) {
    finder = newFinder;
  }

  /** Lets time pass. */
  void onTick() {
    observeTargets();
    long nowMs = clock.nowMs();
    apply(cell.onTick(nowMs));
    takeConfiguration();
    desks.onTick();
    reportLoad(nowMs);
    showState(nowMs);
  }

  /** Takes a message of another process. */
  void onMessage(PeerMessage message, String fromPeerAddress) {
    if (message instanceof Heartbeat) {
      holderAddress = fromPeerAddress;
    }
    desks.onMessage(message, fromPeerAddress);
    apply(cell.onMessage(message, fromPeerAddress, clock.nowMs()));
  }

  /**
   * Takes an address at which the holder may be.
   *
   * @param address peer address of a controller; not null
   */
  public void onHolderAddress(String address) {
    apply(cell.onHolderAddress(address, clock.nowMs()));
  }

  /** Starts to leave the registered set; the result completes once that is done. */
  CompletableFuture<Void> leave() {
    desks.close();
    apply(cell.onStopRequested(clock.nowMs()));
    return left;
  }

  private void observeTargets() {
    RoutingView view = cell.gate().view();
    if (!view.hasTable()) {
      return;
    }
    view.table().targets().stream()
        .map(directory::find)
        .filter(target -> target != null)
        .map(TargetRecord::observation)
        .forEach(cell::onObservation);
  }

  private void showState(long nowMs) {
    RoutingView view = cell.gate().view();
    TableVersion version = view.hasTable() ? view.table().version() : TableVersion.NONE;
    metrics.onCellState(id, version.term(), version.sequence(), view.leaseEndMs() > nowMs);
  }

  private void apply(List<RouterEffect> effects) {
    effects.forEach(this::carryOut);
  }

  private void carryOut(RouterEffect effect) {
    if (effect instanceof RouterEffect.SendToPeer send) {
      network.send(send.peerAddress(), send.message());
    } else if (effect instanceof RouterEffect.FindHolder) {
      finder.search();
    } else if (effect instanceof RouterEffect.ViewChanged) {
      takeTable(cell.gate().view());
      onViewChanged.run();
    } else if (effect instanceof RouterEffect.InstallConfiguration install) {
      installer.install(install.revision(), install.json(), routerCount());
      cell.onConfigurationInstalled(install.revision(), install.json());
    } else if (effect instanceof RouterEffect.StateChanged change) {
      Logger.info("Cell {}: {} {}", id, change.event(), change.detail());
      metrics.onStateChange(id, change.event());
    } else if (effect instanceof RouterEffect.Stopped) {
      left.complete(null);
    }
  }

  private void takeTable(RoutingView view) {
    if (view.hasTable() && view.table().version().isNewerThan(deskVersion)) {
      deskVersion = view.table().version();
      desks.onTable(view.table());
    }
  }

  /** Another cell may have brought the configuration that is in force. */
  private void takeConfiguration() {
    if (installer.revision() > deskRevision) {
      deskRevision = installer.revision();
      desks.onTargets(installer.targetsOf(id));
    }
  }

  private void reportLoad(long nowMs) {
    if (nowMs - loadReportedAtMs >= LOAD_REPORT_MS && !holderAddress.isEmpty()) {
      loadReportedAtMs = nowMs;
      desks.loadReport().ifPresent(report -> network.send(holderAddress, report));
    }
  }

  private int routerCount() {
    RoutingView view = cell.gate().view();
    return view.hasTable() ? Math.max(1, view.table().routers().size()) : 1;
  }
}
