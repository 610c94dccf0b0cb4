package io.cuminvalve.router.wiring;

import dagger.Module;
import dagger.Provides;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.core.authority.DispatchGate;
import io.cuminvalve.core.authority.RouterCell;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.retry.RetryBudget;
import io.cuminvalve.core.retry.RetrySettings;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.kernel.TrafficPool;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.router.control.CellDesks;
import io.cuminvalve.router.control.CellRoutes;
import io.cuminvalve.router.control.CellRunner;
import io.cuminvalve.router.control.ConfigurationInstaller;
import io.cuminvalve.router.control.ControlLoop;
import io.cuminvalve.router.control.HolderFinder;
import io.cuminvalve.router.control.OwnerSlots;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.target.TargetDirectory;
import io.cuminvalve.router.target.TargetOrders;
import io.cuminvalve.router.target.TargetProber;
import io.cuminvalve.wire.MessagePackTableCodec;
import io.cuminvalve.wire.PeerNetworkSettings;
import io.cuminvalve.wire.RecordCodec;
import io.cuminvalve.wire.TcpPeerNetwork;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import javax.inject.Provider;
import javax.inject.Singleton;

/**
 * The parts that run on the control thread.
 *
 * @since 0.1
 */
@Module
final class ControlModule {

  private static final long MAX_UNANSWERED_MS = 100;

  private ControlModule() {}

  @Provides
  @Singleton
  static MillisClock clock() {
    return MillisClock.system();
  }

  @Provides
  @Singleton
  static RandomGenerator random() {
    return new SecureRandom();
  }

  @Provides
  @Singleton
  static ControlThread controlThread() {
    return new ControlThread("control", FailureHandler.logging());
  }

  @Provides
  @Singleton
  static TcpPeerNetwork peerNetwork(
      RouterSettings settings,
      SharedKey sharedKey,
      ControlThread controlThread,
      MillisClock clock,
      RandomGenerator random,
      Provider<ControlLoop> loop) {
    PeerNetworkSettings network =
        PeerNetworkSettings.usual(
            settings.peerAddress().getHostString(), settings.peerAddress().getPort(), sharedKey);
    return new TcpPeerNetwork(
        network,
        (sender, message) -> loop.get().onMessage(sender, message),
        (peerAddress, reachability) -> {},
        controlThread,
        clock,
        random);
  }

  @Provides
  @Singleton
  static Incarnation incarnation(RandomGenerator random) {
    return new Incarnation(random.nextLong(1, Long.MAX_VALUE));
  }

  @Provides
  @Singleton
  static Map<CellId, CellDesks> desks(
      RouterSettings settings,
      Incarnation incarnation,
      TcpPeerNetwork network,
      TrafficPool pool,
      MillisClock clock) {
    Map<CellId, CellDesks> desks = new LinkedHashMap<>();
    for (CellId cell : settings.cells()) {
      desks.put(cell, new CellDesks(cell, settings.id(), incarnation, network, pool, clock));
    }
    return desks;
  }

  @Provides
  @Singleton
  static Map<CellId, RouterCell> cells(
      RouterSettings settings, TcpPeerNetwork network, Incarnation incarnation) {
    Map<CellId, RouterCell> cells = new LinkedHashMap<>();
    for (CellId cell : settings.cells()) {
      RouterCell decisions =
          new RouterCell(
              settings.id(),
              incarnation,
              settings.dataCentre(),
              network.localAddress(),
              cell,
              settings.timings());
      cells.put(cell, decisions);
    }
    return cells;
  }

  @Provides
  @Singleton
  static ConfigurationInstaller configurationInstaller(
      TargetDirectory directory, RouterMetrics metrics) {
    RetryBudget retries =
        new RetryBudget(RetrySettings.DEFAULT, () -> ThreadLocalRandom.current().nextDouble());
    return new ConfigurationInstaller(directory, retries, metrics);
  }

  @Provides
  @Singleton
  static CellRoutes cellRoutes(
      Map<CellId, RouterCell> cells, ConfigurationInstaller installer, MillisClock clock) {
    Map<CellId, DispatchGate> gates = new HashMap<>();
    cells.forEach((id, cell) -> gates.put(id, cell.gate()));
    return new CellRoutes(gates, installer::capability, clock);
  }

  @Provides
  @Singleton
  static Map<CellId, CellRunner> runners(
      Map<CellId, RouterCell> cells,
      Map<CellId, CellDesks> desks,
      TcpPeerNetwork network,
      ConfigurationInstaller installer,
      TargetDirectory directory,
      RouterMetrics metrics,
      MillisClock clock,
      OwnerSlots slots,
      HolderFinderFactory finders) {
    Map<CellId, CellRunner> runners = new LinkedHashMap<>();
    cells.forEach(
        (id, cell) -> {
          CellRunner runner =
              new CellRunner(
                  id,
                  cell,
                  desks.get(id),
                  network,
                  installer,
                  directory,
                  metrics,
                  clock,
                  slots::onViewChanged);
          runner.useFinder(finders.make(id, runner::onHolderAddress));
          runners.put(id, runner);
        });
    return runners;
  }

  @Provides
  @Singleton
  static HolderFinderFactory holderFinders(
      RouterSettings settings,
      KeyValueStore store,
      ControlThread controlThread,
      RandomGenerator random) {
    MessagePackTableCodec codec = new MessagePackTableCodec(new RecordCodec());
    return (cell, onAddress) ->
        new HolderFinder(
            cell, store, codec, settings.seedPeerAddresses(), controlThread, random, onAddress);
  }

  @Provides
  @Singleton
  static ControlLoop controlLoop(
      ControlThread controlThread,
      Map<CellId, CellRunner> runners,
      TargetDirectory directory,
      TargetOrders orders,
      MillisClock clock,
      RouterSettings settings) {
    long maxReadingAgeMs = settings.timings().clockAgeMs() / 3;
    TargetProber prober =
        new TargetProber(directory, orders, clock, maxReadingAgeMs, MAX_UNANSWERED_MS);
    return new ControlLoop(controlThread, runners, prober);
  }
}
