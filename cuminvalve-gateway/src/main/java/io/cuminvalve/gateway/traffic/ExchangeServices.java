package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.router.target.TargetClient;
import java.util.function.BooleanSupplier;

/**
 * What every exchange uses.
 *
 * @param state what routing knows; not null
 * @param dispatcher gives slots; not null
 * @param gate decides at the first byte whether a request may be sent; not null
 * @param departures tells which targets have said that they leave; not null
 * @param quotas tells which targets name a limit; not null
 * @param signals reads what targets say in their answers; not null
 * @param backoffs tells which targets are left alone; not null
 * @param client talks to targets; not null
 * @param budgets bound repeats; not null
 * @param quarantine tells what must not be sent; not null
 * @param crashDetector finds out under which requests targets end; not null
 * @param keyLoad sums up the work of keys; not null
 * @param timers run deadlines; not null
 * @param clock the time; not null
 * @param headers the header fields in use; not null
 * @param log takes decisions; not null
 * @param metrics counts requests; not null
 * @param stopping whether this process is about to end; not null
 */
record ExchangeServices(
    RoutingState state,
    Dispatcher dispatcher,
    SendGate gate,
    TargetDepartures departures,
    TargetQuotas quotas,
    SignalReader signals,
    TargetBackoffs backoffs,
    TargetClient client,
    RetryBudgets budgets,
    RequestQuarantine quarantine,
    CrashDetector crashDetector,
    KeyLoadMeter keyLoad,
    Timers timers,
    MillisClock clock,
    RequestHeaders headers,
    DecisionLog log,
    RequestMetrics metrics,
    BooleanSupplier stopping) {}
