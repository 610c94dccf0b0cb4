package io.cuminvalve.router.wiring;

import dagger.Module;
import dagger.Provides;
import io.cuminvalve.admin.AdminRoute;
import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.admin.AdminSettings;
import io.cuminvalve.admin.ReadinessCheck;
import io.cuminvalve.config.admin.AdminPaths;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.router.control.CellRoutes;
import io.cuminvalve.router.control.ConfigurationInstaller;
import io.cuminvalve.router.observe.RecentRequests;
import io.cuminvalve.router.observe.RequestObserver;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.observe.TraceSink;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import javax.inject.Singleton;

/**
 * The parts that operators see.
 *
 * @since 0.1
 */
@Module
final class OperationsModule {

  private OperationsModule() {}

  @Provides
  @Singleton
  static PrometheusRegistry metricsRegistry() {
    return new PrometheusRegistry();
  }

  @Provides
  @Singleton
  static RouterMetrics routerMetrics(PrometheusRegistry registry) {
    return new RouterMetrics(registry);
  }

  @Provides
  @Singleton
  static RecentRequests recentRequests(RouterSettings settings) {
    return new RecentRequests(settings.traffic().requestRecordCount());
  }

  @Provides
  @Singleton
  static RequestObserver requestObserver(
      RecentRequests recent, RouterMetrics metrics, MillisClock clock, TraceSink trace) {
    return new RequestObserver(recent, metrics, clock, trace);
  }

  @Provides
  @Singleton
  static Readiness readiness(
      RouterSettings settings,
      CellRoutes routes,
      ConfigurationInstaller installer,
      MillisClock clock) {
    return new Readiness(settings.cells(), routes, installer, clock);
  }

  @Provides
  @Singleton
  static OperatorPages operatorPages(
      RouterSettings settings,
      RecentRequests recent,
      CellRoutes routes,
      ConfigurationInstaller installer,
      MillisClock clock) {
    return new OperatorPages(settings.id(), settings.cells(), recent, routes, installer, clock);
  }

  @Provides
  @Singleton
  static AdminServer adminServer(
      RouterSettings settings,
      SharedKey sharedKey,
      Readiness readiness,
      PrometheusRegistry registry,
      OperatorPages pages) {
    AdminSettings admin =
        new AdminSettings(
            settings.adminAddress().getHostString(), settings.adminAddress().getPort(), sharedKey);
    return new AdminServer(
        admin,
        List.of(new ReadinessCheck("router", readiness::problem)),
        registry,
        pages::status,
        List.of(new AdminRoute("GET", AdminPaths.REQUESTS, pages::request)));
  }
}
