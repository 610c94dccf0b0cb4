package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Traffic of one gateway to targets with limits, for tests of other packages. */
public final class QuotaTraffic {

  private final TargetQuotas quotas;

  /** Creates traffic of a gateway that knows of no limit. */
  public QuotaTraffic(MillisClock clock, Timers timers, RandomGenerator random) {
    this.quotas = new TargetQuotas(clock, new DecisionLog(clock, 1, line -> {}), timers, random);
  }

  /** Returns what the control thread of the gateway uses. */
  public TargetQuotas quotas() {
    return quotas;
  }

  /** Sets who looks again at requests that wait. */
  public void onUsable(Consumer<ServiceId> listener) {
    quotas.onUsable(listener);
  }

  /** Tries to send a request. */
  public boolean take(FleetTarget target, int priority) {
    return quotas.take(target, priority);
  }

  /** Tells whether a request has to be refused now. */
  public boolean refuses(FleetTarget target, int priority) {
    return quotas.refusedForMs(target.id(), priority).isPresent();
  }

  /** Takes an answer that names a limit, or none if it is null. */
  public void onAnswer(FleetTarget target, String limit, long sentMs) {
    OptionalDouble perS =
        limit == null ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(limit));
    quotas.onAnswer(target.id(), perS, sentMs);
  }
}
