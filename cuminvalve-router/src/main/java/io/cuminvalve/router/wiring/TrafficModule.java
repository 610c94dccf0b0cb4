package io.cuminvalve.router.wiring;

import dagger.Module;
import dagger.Provides;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.config.settings.TrafficSettings;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.TrafficPool;
import io.cuminvalve.router.caller.CallerHandler;
import io.cuminvalve.router.caller.CallerLimits;
import io.cuminvalve.router.caller.CallerServer;
import io.cuminvalve.router.caller.ExchangeServices;
import io.cuminvalve.router.caller.RequestIds;
import io.cuminvalve.router.control.CellDesks;
import io.cuminvalve.router.control.CellRoutes;
import io.cuminvalve.router.control.ConfigurationInstaller;
import io.cuminvalve.router.control.GatedSlots;
import io.cuminvalve.router.control.OwnerSlots;
import io.cuminvalve.router.control.OwnerSlotsLimits;
import io.cuminvalve.router.observe.RequestObserver;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetClientLimits;
import io.cuminvalve.router.target.TargetDirectory;
import io.cuminvalve.router.target.TargetOrders;
import java.security.SecureRandom;
import java.util.Map;
import javax.inject.Singleton;

/**
 * The parts that carry requests.
 *
 * @since 0.1
 */
@Module
final class TrafficModule {

  private static final int KEPT_BODY_BYTES = 16 * 1024;
  private static final int TARGET_THREADS = 32;
  private static final long TARGET_IDLE_TIMEOUT_MS = 20_000;
  private static final long ORDER_TIMEOUT_MS = 500;
  private static final int ADMISSION_THREADS = 4;

  /** A request waits for one thing at a time; the rest allows for answers not yet given. */
  private static final int ANSWERS_PER_REQUEST = 4;

  private static final long MAX_SHARD_WAIT_MS = 1_500;

  private TrafficModule() {}

  @Provides
  @Singleton
  static RequestTimers requestTimers() {
    return new RequestTimers();
  }

  @Provides
  @Singleton
  static TargetDirectory targetDirectory(MillisClock clock) {
    return new TargetDirectory(clock);
  }

  @Provides
  @Singleton
  static TargetClient targetClient(RouterSettings settings, TargetDirectory directory) {
    TrafficSettings traffic = settings.traffic();
    TargetClientLimits limits =
        new TargetClientLimits(
            traffic.connectTimeoutMs(),
            TARGET_IDLE_TIMEOUT_MS,
            traffic.maxHeaderBytes(),
            TARGET_THREADS,
            false);
    return new TargetClient(limits, directory);
  }

  @Provides
  @Singleton
  static TargetOrders targetOrders(TargetClient client, RequestTimers timers) {
    return new TargetOrders(client, timers, ORDER_TIMEOUT_MS);
  }

  @Provides
  @Singleton
  static OwnerSlots ownerSlots(
      CellRoutes routes,
      TargetDirectory directory,
      RequestTimers timers,
      TrafficPool pool,
      MillisClock clock,
      RouterSettings settings) {
    OwnerSlotsLimits limits =
        new OwnerSlotsLimits(settings.traffic().maxQueuedRequests(), MAX_SHARD_WAIT_MS);
    return new OwnerSlots(routes, directory, timers, pool, clock, limits);
  }

  /** Lets requests go on that waited for a shard, a slot or a claim. */
  @Provides
  @Singleton
  static TrafficPool trafficPool(RouterSettings settings) {
    int capacity = ANSWERS_PER_REQUEST * settings.traffic().maxInFlightRequests();
    return new TrafficPool("admission", ADMISSION_THREADS, capacity, FailureHandler.logging());
  }

  @Provides
  @Singleton
  static GatedSlots gatedSlots(OwnerSlots owners, Map<CellId, CellDesks> desks) {
    return new GatedSlots(owners, desks);
  }

  @Provides
  @Singleton
  static ExchangeServices exchangeServices(
      GatedSlots slots,
      CellRoutes routes,
      TargetClient client,
      TargetOrders orders,
      RequestTimers timers,
      MillisClock clock,
      RequestObserver observer) {
    return new ExchangeServices(slots, slots, routes, client, orders, timers, clock, observer);
  }

  @Provides
  @Singleton
  static CallerLimits callerLimits(RouterSettings settings) {
    TrafficSettings traffic = settings.traffic();
    return new CallerLimits(
        traffic.maxHeaderBytes(),
        traffic.maxBodyBytes(),
        KEPT_BODY_BYTES,
        traffic.maxInFlightRequests());
  }

  @Provides
  @Singleton
  static CallerHandler callerHandler(
      ConfigurationInstaller installer,
      ExchangeServices services,
      CallerLimits limits,
      RouterMetrics metrics) {
    RequestIds ids = new RequestIds(new SecureRandom());
    return new CallerHandler(installer::rules, services, limits, ids, metrics);
  }

  @Provides
  @Singleton
  static CallerServer callerServer(
      RouterSettings settings, CallerLimits limits, CallerHandler handler) {
    return new CallerServer(settings.callerAddress(), limits, handler);
  }
}
