package io.cuminvalve.controller;

import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.controller.wiring.ControllerComponent;
import io.cuminvalve.controller.wiring.DaggerControllerComponent;
import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.kernel.MicroKernel;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.host.HostList;
import io.cuminvalve.ports.host.HttpHostList;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.store.HttpKeyValueStore;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.target.HttpTargetControl;
import io.cuminvalve.ports.target.TargetControl;
import io.cuminvalve.wire.TcpPeerNetwork;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * One controller: holds the term of its cells or waits for it.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Controller {

  private static final long START_TIMEOUT_MS = 10_000;
  private static final long DRAIN_TIMEOUT_MS = 5_000;
  private static final long STOP_TIMEOUT_MS = 5_000;

  private final ControllerSettings settings;
  private final ControllerComponent parts;
  private final MicroKernel kernel =
      new MicroKernel(START_TIMEOUT_MS, DRAIN_TIMEOUT_MS, STOP_TIMEOUT_MS);

  /**
   * Creates a controller; its peer port is open from now on, so that its address is known.
   *
   * @param settings its settings; ports may be 0; not null
   * @param sharedKey the key of our own processes; not null
   * @param store the platform's store; not null
   * @param hostList the platform's host list; not null
   * @param targets orders to targets; not null
   * @throws io.cuminvalve.kernel.CodedException with code UNAVAILABLE if the port cannot be had
   */
  public Controller(
      ControllerSettings settings,
      SharedKey sharedKey,
      KeyValueStore store,
      HostList hostList,
      TargetControl targets) {
    this(settings, sharedKey, store, hostList, targets, new ManagedService() {});
  }

  private Controller(
      ControllerSettings settings,
      SharedKey sharedKey,
      KeyValueStore store,
      HostList hostList,
      TargetControl targets,
      ManagedService platform) {
    this.settings = settings;
    this.parts =
        DaggerControllerComponent.factory().create(settings, sharedKey, store, hostList, targets);
    kernel.register(ControllerServices.PLATFORM, platform);
    kernel.register(ControllerServices.PEERS, new PeerLifecycle(parts.network()));
    kernel.register(
        ControllerServices.CONTROL,
        parts.controlLoop(),
        ControllerServices.PLATFORM,
        ControllerServices.PEERS);
    kernel.register(ControllerServices.ADMIN, parts.adminServer(), ControllerServices.CONTROL);
  }

  /**
   * Creates a controller that reaches the platform over HTTP at the addresses of its settings.
   *
   * @param settings its settings; ports may be 0; not null
   * @param sharedKey the key of our own processes; not null
   * @return a controller that does not run yet
   * @throws io.cuminvalve.kernel.CodedException with code UNAVAILABLE if the port cannot be had
   */
  public static Controller overHttp(ControllerSettings settings, SharedKey sharedKey) {
    AuthorityTimings timings = settings.timings();
    BoundedHttpClient caller = new BoundedHttpClient("platform", timings.targetTimeoutMs());
    return new Controller(
        settings,
        sharedKey,
        new HttpKeyValueStore(caller, format(settings.storeAddresses()), timings.storeTimeoutMs()),
        new HttpHostList(caller, format(settings.hostListAddresses()), timings.storeTimeoutMs()),
        new HttpTargetControl(caller, timings.targetTimeoutMs(), timings.drainTimeoutMs()),
        caller);
  }

  /**
   * Starts every service.
   *
   * @throws io.cuminvalve.kernel.CodedException if one does not start; those that did are stopped
   */
  public void start() {
    kernel.start();
    Logger.info("Controller {} listens for peers at {}", settings.id(), peerAddress());
  }

  /** Stops in a planned way: gives up its terms, so that another controller takes them at once. */
  public void stop() {
    Logger.info("Controller {} stops", settings.id());
    kernel.drain();
    kernel.stop();
  }

  /** Stops at once, as if the process had been lost: no term is given up. */
  public void kill() {
    parts.controlLoop().beAbrupt();
    kernel.stop();
  }

  /**
   * Tells when the controller has given up because of a fault of its own; it then has to be
   * stopped.
   *
   * @return completes with the fault; never if there is none
   */
  public CompletableFuture<Throwable> failed() {
    return parts.controlLoop().failed();
  }

  /**
   * Returns the port for operators.
   *
   * @return a port, once started
   */
  public int adminPort() {
    return parts.adminServer().port();
  }

  /**
   * Returns the address for our own processes.
   *
   * @return IP address and port, never null
   */
  public String peerAddress() {
    return parts.network().localAddress();
  }

  private static List<String> format(List<InetSocketAddress> addresses) {
    return addresses.stream().map(IpAddresses::format).toList();
  }

  /** Starts and stops the network of peers. */
  private record PeerLifecycle(TcpPeerNetwork network) implements ManagedService {

    @Override
    public void start() {
      network.start();
    }

    @Override
    public void stop() {
      network.close();
    }
  }
}
