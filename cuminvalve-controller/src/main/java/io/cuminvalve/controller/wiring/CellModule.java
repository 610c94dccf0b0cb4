package io.cuminvalve.controller.wiring;

import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.controller.cell.CellPorts;
import io.cuminvalve.controller.cell.CellRunner;
import io.cuminvalve.controller.cell.CellSupervisor;
import io.cuminvalve.controller.operation.ControllerMetrics;
import io.cuminvalve.controller.operation.OperationRecorder;
import io.cuminvalve.core.authority.ControllerCell;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.placement.BalancingPlanner;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.host.HostList;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.target.TargetControl;
import io.cuminvalve.wire.MessagePackTableCodec;
import io.cuminvalve.wire.PeerNetworkSettings;
import io.cuminvalve.wire.RecordCodec;
import io.cuminvalve.wire.TcpPeerNetwork;
import java.security.SecureRandom;
import java.util.Random;
import javax.inject.Singleton;
import org.tinylog.Logger;

/**
 * Makes the cells and what they work with.
 *
 * @since 0.1
 */
@Module
final class CellModule {

  private CellModule() {}

  @Provides
  @Singleton
  static MillisClock clock() {
    return MillisClock.system();
  }

  @Provides
  @Singleton
  static Incarnation incarnation() {
    // One of 2^63 numbers, and never the one that stands for unknown.
    return new Incarnation(new SecureRandom().nextLong() | 1);
  }

  @Provides
  @Singleton
  static ControlThread controlThread(ControllerMetrics metrics) {
    return new ControlThread(
        "control",
        (executor, failure) -> {
          metrics.countFailure(executor);
          Logger.error(failure, "Task failed on executor {}", executor);
        });
  }

  @Provides
  @Singleton
  static TableCodec tableCodec() {
    return new MessagePackTableCodec(new RecordCodec());
  }

  @Provides
  @Singleton
  static TcpPeerNetwork network(
      ControllerSettings settings,
      SharedKey sharedKey,
      ControlThread control,
      MillisClock clock,
      Lazy<CellSupervisor> supervisor) {
    return new TcpPeerNetwork(
        PeerNetworkSettings.usual(
            settings.peerAddress().getAddress().getHostAddress(),
            settings.peerAddress().getPort(),
            sharedKey),
        (sender, message) -> supervisor.get().onMessage(sender, message),
        (address, reachability) -> Logger.debug("Peer {} is {}", address, reachability),
        control,
        clock,
        new Random());
  }

  @Provides
  @Singleton
  static CellPorts cellPorts(
      ControllerSettings settings,
      ControlThread control,
      MillisClock clock,
      KeyValueStore store,
      TargetControl targets,
      TcpPeerNetwork network,
      TableCodec codec) {
    return new CellPorts(
        control, clock, store, targets, network, codec, settings.timings().targetTimeoutMs());
  }

  @Provides
  @Singleton
  static CellSupervisor supervisor(
      ControllerSettings settings,
      CellPorts ports,
      HostList hostList,
      Incarnation incarnation,
      OperationRecorder recorder) {
    return new CellSupervisor(
        ports,
        hostList,
        settings.cells(),
        cell ->
            new CellRunner(
                cell,
                new ControllerCell(
                    settings.id(),
                    incarnation,
                    ports.network().localAddress(),
                    cell,
                    settings.timings(),
                    new BalancingPlanner(),
                    ports.codec()),
                ports,
                recorder));
  }
}
