package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.observe.RequestObserver;
import io.cuminvalve.router.request.GrantStamp;
import io.cuminvalve.router.request.IntentClaims;
import io.cuminvalve.router.request.SlotSource;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.router.target.TargetCanceller;
import io.cuminvalve.router.target.TargetClient;

/**
 * What each request uses on its way.
 *
 * @param slots gets slots of owners; not null
 * @param intents claims idempotency keys; not null
 * @param grants issues the grant of each attempt; not null
 * @param client sends attempts; not null
 * @param canceller tells targets that an attempt was given up; not null
 * @param timers runs tasks later; not null
 * @param clock this router's clock; not null
 * @param observer hears of every step; not null
 * @since 0.1
 */
public record ExchangeServices(
    SlotSource slots,
    IntentClaims intents,
    GrantStamp grants,
    TargetClient client,
    TargetCanceller canceller,
    Timers timers,
    MillisClock clock,
    RequestObserver observer) {}
