package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeStateMachine;
import io.cuminvalve.core.route.RoutingConfiguration;

/** Writes the decisions on one request to the log. */
final class ExchangeLog {

  private final ExchangeServices services;
  private final CallerRequest call;
  private final ExchangeStateMachine machine;

  ExchangeLog(ExchangeServices services, CallerRequest call, ExchangeStateMachine machine) {
    this.services = services;
    this.call = call;
    this.machine = machine;
  }

  /** Logs a refusal together with the target that caused it. */
  void logRefusal(String event, TargetRefusal refusal, String limit) {
    services
        .log()
        .write(
            event,
            "id={} service={} key={} target={}{} retry_after_ms={}",
            call.attemptId(),
            call.service(),
            call.key().isPresent() ? call.key().getAsInt() : "-",
            refusal.target(),
            limit,
            refusal.retryAfterMs());
  }

  /** Logs a decision together with the versions and age of the state that it is based on. */
  void log(String event, TargetAttempt attempt, String why) {
    long nowMs = services.clock().nowMs();
    RoutingSnapshot known = services.state().current();
    services
        .log()
        .write(
            event,
            "id={} fingerprint={} route={} service={} key={} target={} runs={} refusals={}"
                + " age_ms={} config={} owners={} targets_age_ms={} why={}",
            call.attemptId(),
            call.identity(),
            call.route().name(),
            call.service(),
            call.key().isPresent() ? call.key().getAsInt() : "-",
            attempt == null ? "-" : attempt.target().id(),
            machine.runs(),
            machine.refusals(),
            nowMs - call.arrivedMs(),
            known.configuration().map(RoutingConfiguration::version).orElse(0L),
            known.ownersVersion(),
            services.clock().upper().sinceMs(services.state().targetsConfirmed()),
            why);
  }
}
