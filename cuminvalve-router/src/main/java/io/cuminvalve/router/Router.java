package io.cuminvalve.router;

import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.kernel.MicroKernel;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.store.HttpKeyValueStore;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.router.observe.TraceSink;
import io.cuminvalve.router.wiring.DaggerRouterComponent;
import io.cuminvalve.router.wiring.PeerService;
import io.cuminvalve.router.wiring.RouterComponent;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One router: takes requests of callers and sends each to the one owner of its key.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Router {

  private static final long START_TIMEOUT_MS = 10_000;
  private static final long STOP_TIMEOUT_MS = 5_000;

  /** How long the platform's balancer has to notice that this router takes no more callers. */
  private static final long BALANCER_NOTICE_MS = 1_000;

  private final RouterSettings settings;
  private final RouterComponent parts;
  private final PeerService peers;
  private final MicroKernel kernel;

  /**
   * Creates a router that reaches the platform's store over HTTP.
   *
   * @param settings its settings; ports may be 0; not null
   * @param sharedKey the key of our own processes; not null
   */
  public Router(RouterSettings settings, SharedKey sharedKey) {
    this(settings, sharedKey, TraceSink.NONE);
  }

  /**
   * Creates a router that reaches the platform's store over HTTP and traces requests.
   *
   * @param settings its settings; ports may be 0; not null
   * @param sharedKey the key of our own processes; not null
   * @param trace takes finished requests; not null
   */
  public Router(RouterSettings settings, SharedKey sharedKey, TraceSink trace) {
    this(
        settings,
        sharedKey,
        new BoundedHttpClient("platform", settings.traffic().connectTimeoutMs()),
        trace);
  }

  private Router(
      RouterSettings settings, SharedKey sharedKey, BoundedHttpClient platform, TraceSink trace) {
    this(
        settings,
        sharedKey,
        new HttpKeyValueStore(
            platform,
            settings.storeAddresses().stream().map(IpAddresses::format).toList(),
            settings.timings().storeTimeoutMs()),
        platform,
        trace);
  }

  /**
   * Creates a router; its peer port is open from now on, so that its address is known.
   *
   * @param settings its settings; ports may be 0; not null
   * @param sharedKey the key of our own processes; not null
   * @param store the platform's store; not null
   */
  public Router(RouterSettings settings, SharedKey sharedKey, KeyValueStore store) {
    this(settings, sharedKey, store, new ManagedService() {}, TraceSink.NONE);
  }

  private Router(
      RouterSettings settings,
      SharedKey sharedKey,
      KeyValueStore store,
      ManagedService platform,
      TraceSink trace) {
    this.settings = settings;
    this.parts = DaggerRouterComponent.factory().create(settings, sharedKey, store, trace);
    this.peers = new PeerService(parts.peerNetwork());
    this.kernel =
        new MicroKernel(START_TIMEOUT_MS, settings.traffic().stopGraceMs(), STOP_TIMEOUT_MS);
    register(platform);
  }

  private void register(ManagedService platform) {
    kernel.register(RouterServices.PLATFORM, platform);
    kernel.register(RouterServices.TIMERS, parts.requestTimers());
    kernel.register(RouterServices.TARGETS, parts.targetClient());
    kernel.register(RouterServices.PEERS, peers);
    kernel.register(
        RouterServices.CONTROL,
        parts.controlLoop(),
        RouterServices.PLATFORM,
        RouterServices.PEERS,
        RouterServices.TARGETS,
        RouterServices.TIMERS);
    kernel.register(RouterServices.ADMIN, parts.adminServer(), RouterServices.CONTROL);
    kernel.register(RouterServices.CALLERS, parts.callerServer(), RouterServices.CONTROL);
  }

  /** Starts every service; callers are served once the route lease is held. */
  public void start() {
    kernel.start();
    Logger.info("Router {} listens for callers on port {}", settings.id(), callerPort());
  }

  /**
   * Stops in a planned way: tells the balancer, lets requests in flight end, leaves the registered
   * routers, and closes everything. Each step is bounded in time.
   */
  public void stop() {
    Logger.info("Router {} stops", settings.id());
    parts.readiness().beginStop();
    awaitBalancer();
    kernel.drain();
    kernel.stop();
  }

  /** Stops at once, as if the process had been lost: nobody is told, requests are cut off. */
  public void kill() {
    kernel.stop();
  }

  /**
   * Returns the port for callers.
   *
   * @return a port, once started
   */
  public int callerPort() {
    return parts.callerServer().port();
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
    return peers.localAddress();
  }

  /**
   * Tells whether the router wants callers.
   *
   * @return true while it has a configuration and route leases and does not stop
   */
  public boolean isReady() {
    return parts.readiness().problem().isEmpty();
  }

  private void awaitBalancer() {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.min(BALANCER_NOTICE_MS, settings.traffic().stopGraceMs()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
