package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The traffic of one gateway to rate-limited targets, for tests of other packages. */
public final class QuotaTraffic {

  private final TargetQuotas quotas;

  /** Creates the traffic of a gateway without known limits. */
  public QuotaTraffic(MillisClock clock, Timers timers, RandomGenerator random) {
    this.quotas = new TargetQuotas(clock, new DecisionLog(clock, 1, line -> {}), timers, random);
  }

  /** Returns the quotas that the control thread of the gateway uses. */
  public TargetQuotas quotas() {
    return quotas;
  }

  /** Sets the listener that serves the waiting requests of a service. */
  public void onUsable(Consumer<ServiceId> listener) {
    quotas.onUsable(listener);
  }

  /** Tries to send a request. */
  public boolean take(FleetTarget target, int priority) {
    return quotas.take(target, priority);
  }

  /** Returns whether a request has to be refused now. */
  public boolean refuses(FleetTarget target, int priority) {
    return quotas.refusedForMs(target.id(), priority).isPresent();
  }

  /** Handles a response with the given limit; without a limit if it is null. */
  public void onAnswer(FleetTarget target, String limit, long sentMs) {
    OptionalDouble perS =
        limit == null ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(limit));
    quotas.onAnswer(target.id(), perS, sentMs);
  }
}
