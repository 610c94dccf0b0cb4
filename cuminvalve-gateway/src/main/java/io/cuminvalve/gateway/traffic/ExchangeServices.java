package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.router.target.TargetClient;
import java.util.function.Consumer;

/**
 * The services shared by all exchanges.
 *
 * @param state the routing state; not null
 * @param dispatcher assigns slots; not null
 * @param submission submits requests for slots to the dispatcher; not null
 * @param gate checks before the first byte whether a request may be sent; not null
 * @param departures tracks the targets that announced that they leave; not null
 * @param quotas tracks the rate limits of targets; not null
 * @param signals reads the signals of targets in their responses; not null
 * @param backoffs tracks the targets that asked for a back-off; not null
 * @param buffers the memory for bodies; not null
 * @param client the HTTP client for targets; not null
 * @param relay has peers send requests; not null
 * @param budgets limit retries; not null
 * @param quarantine holds back requests that crash targets; not null
 * @param crashDetector detects during which requests targets end; not null
 * @param reach tells which targets can be reached; not null
 * @param paces paces targets that start or recover; not null
 * @param keyLoad sums up the load of keys; not null
 * @param timers run deadlines; not null
 * @param clock the time; not null
 * @param headers the names of the header fields; not null
 * @param log the decision log; not null
 * @param metrics counts requests; not null
 * @param stop whether this process is stopping; not null
 */
record ExchangeServices(
    RoutingState state,
    Dispatcher dispatcher,
    Consumer<SlotRequest> submission,
    SendGate gate,
    TargetDepartures departures,
    TargetQuotas quotas,
    SignalReader signals,
    TargetBackoffs backoffs,
    BodyBuffers buffers,
    TargetClient client,
    PeerRelay relay,
    RetryBudgets budgets,
    RequestQuarantine quarantine,
    CrashDetector crashDetector,
    ReachMonitor reach,
    PacedTargets paces,
    KeyLoadMeter keyLoad,
    Timers timers,
    MillisClock clock,
    RequestHeaders headers,
    DecisionLog log,
    RequestMetrics metrics,
    StopProgress stop) {}
