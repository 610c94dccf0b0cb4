package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.retry.SharedRetryBudget;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;

/** The retry budgets, one per service. Thread-safe. */
final class RetryBudgets {

  /** Share of the budget in use, since the known number of gateways may be wrong. */
  private static final double USED_SHARE = 0.6;

  private final GatewaySettings settings;
  private final MillisClock clock;
  private final Map<ServiceId, SharedRetryBudget> budgets = new HashMap<>();

  RetryBudgets(GatewaySettings settings, MillisClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  synchronized void onRequest(ServiceId service) {
    budgetOf(service).onRequest(clock.nowMs());
  }

  synchronized boolean tryRetry(ServiceId service, int processes) {
    return budgetOf(service).tryRetry(processes, clock.nowMs());
  }

  private SharedRetryBudget budgetOf(ServiceId service) {
    return budgets.computeIfAbsent(
        service,
        id ->
            new SharedRetryBudget(
                settings.repeatShare() * USED_SHARE,
                settings.repeatsPerFleet() * USED_SHARE,
                settings.repeatWindowMs()));
  }
}
