package io.cuminvalve.controller.wiring;

import dagger.Module;
import dagger.Provides;
import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.admin.AdminSettings;
import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.controller.cell.CellSupervisor;
import io.cuminvalve.controller.operation.ChangeHistory;
import io.cuminvalve.controller.operation.ControllerMetrics;
import io.cuminvalve.controller.operation.OperationRecorder;
import io.cuminvalve.controller.operation.OperatorRoutes;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import javax.inject.Singleton;

/**
 * Makes what operators see.
 *
 * @since 0.1
 */
@Module
final class OperationModule {

  private static final int HISTORY_CAPACITY = 1_000;

  private OperationModule() {}

  @Provides
  @Singleton
  static PrometheusRegistry registry() {
    return new PrometheusRegistry();
  }

  @Provides
  @Singleton
  static ControllerMetrics metrics(PrometheusRegistry registry) {
    return new ControllerMetrics(registry);
  }

  @Provides
  @Singleton
  static ChangeHistory history() {
    return new ChangeHistory(HISTORY_CAPACITY);
  }

  @Provides
  @Singleton
  static OperationRecorder recorder(
      ControllerSettings settings, ControllerMetrics metrics, ChangeHistory history) {
    return new OperationRecorder(settings.id(), metrics, history, System::currentTimeMillis);
  }

  @Provides
  @Singleton
  static OperatorRoutes routes(
      ControllerSettings settings,
      CellSupervisor supervisor,
      ControlThread control,
      OperationRecorder recorder,
      ChangeHistory history,
      MillisClock clock) {
    return new OperatorRoutes(
        settings.id(), supervisor, control, recorder, history, clock, System::currentTimeMillis);
  }

  @Provides
  @Singleton
  static AdminServer adminServer(
      ControllerSettings settings,
      SharedKey sharedKey,
      ControlLoop loop,
      PrometheusRegistry registry,
      OperatorRoutes routes) {
    return new AdminServer(
        new AdminSettings(
            settings.adminAddress().getAddress().getHostAddress(),
            settings.adminAddress().getPort(),
            sharedKey),
        loop.checks(),
        registry,
        routes::statusJson,
        routes.routes());
  }
}
