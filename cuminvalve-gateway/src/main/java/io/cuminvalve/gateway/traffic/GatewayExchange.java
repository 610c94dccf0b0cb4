package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeEffect;
import io.cuminvalve.core.exchange.ExchangeProfile;
import io.cuminvalve.core.exchange.ExchangeStateMachine;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.gateway.observe.RequestOutcome;
import io.cuminvalve.router.caller.CallerHeaders;
import io.cuminvalve.router.request.Timers.Cancellable;
import java.util.List;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/**
 * One request, from the moment it has been read to its one final answer: carries out what {@link
 * ExchangeStateMachine} decides.
 *
 * <p>Decisions are made under this object's monitor, effects are carried out without it.
 */
final class GatewayExchange implements TargetAttempt.Listener, PlacementWish.Listener {

  private final ExchangeServices services;
  private final CallerRequest call;
  private final PlacementWish wish;
  private final ExchangeStateMachine machine;
  private final Runnable onEnded;

  private volatile Slot slot;
  private volatile TargetAttempt current;
  private volatile TargetAnswerBody answer;
  private volatile Cancellable deadline = () -> {};
  private volatile Cancellable patience = () -> {};

  GatewayExchange(ExchangeServices services, CallerRequest call, Runnable onEnded) {
    this.services = services;
    this.call = call;
    this.onEnded = onEnded;
    this.wish =
        new PlacementWish(call.route(), call.service(), call.key(), call.body().length, this);
    this.machine = new ExchangeStateMachine(profileOf(call), this::takesBudget);
  }

  private static ExchangeProfile profileOf(CallerRequest call) {
    Route route = call.route();
    return new ExchangeProfile(
        route.idempotent(),
        call.key().isPresent(),
        route.maxAttempts(),
        route.targetLatencyMs(),
        call.arrivedMs(),
        call.deadlineMs());
  }

  void start() {
    services.budgets().onRequest(call.service());
    call.watchCaller(this::onCallerGone);
    long nowMs = services.clock().nowMs();
    deadline = services.timers().schedule(this::onDeadline, Math.max(0, call.deadlineMs() - nowMs));
    if (isRefused(services.quarantine().admit(call.identity()))) {
      return;
    }
    boolean turnedAway = services.dispatcher().turnsAway(wish);
    if (turnedAway) {
      countUnservedWork();
    }
    decide(() -> machine.onStart(turnedAway, nowMs));
  }

  @Override
  public void onPlaced(Slot placed) {
    patience.cancel();
    slot = placed;
    if (isRefused(quarantinedForMs())) {
      services.dispatcher().giveBack(placed, wish, AttemptEnd.GIVEN_UP, 0);
    } else {
      decide(machine::onSlot);
    }
  }

  @Override
  public void onRefused(TargetRefusal refusal) {
    patience.cancel();
    countUnservedWork();
    switch (refusal.cause()) {
      case REST -> {
        logRefusal("request_held_off", refusal, "");
        decide(() -> machine.onResting(refusal.retryAfterMs()));
      }
      case STUCK_KEY -> {
        logRefusal("request_key_stuck", refusal, "");
        decide(() -> machine.onStuckKey(refusal.retryAfterMs()));
      }
      default -> {
        logRefusal("request_limited", refusal, " limit_per_s=" + refusal.limitPerS());
        decide(() -> machine.onLimited(refusal.retryAfterMs()));
      }
    }
  }

  private void logRefusal(String event, TargetRefusal refusal, String limit) {
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

  private long quarantinedForMs() {
    return services.quarantine().refusedForMs(call.identity(), machine.runs());
  }

  /** Ends a request that may be sent to no target; that may come up while it waits. */
  private boolean isRefused(long forMs) {
    if (forMs > 0) {
      decide(() -> machine.onQuarantined(forMs));
    }
    return forMs > 0;
  }

  private void onOutOfPatience() {
    if (services.dispatcher().withdraw(wish)) {
      countUnservedWork();
      String reason = services.dispatcher().whyWaiting(wish);
      decide(() -> machine.onNoSlot(reason));
    }
  }

  @Override
  public void onAnswer(TargetAttempt attempt, int status, HttpFields headers, byte[] body) {
    answer = new TargetAnswerBody(status, headers, body);
    decide(() -> machine.onAnswer(status, services.clock().nowMs()));
  }

  @Override
  public void onNotExecuted(TargetAttempt attempt, int status) {
    decide(() -> machine.onNotExecuted(services.clock().nowMs()));
    log("request_refused_by_target", attempt, "status_" + status);
  }

  @Override
  public void onFailure(TargetAttempt attempt, boolean mayHaveRunThere, String reason) {
    decide(() -> machine.onFailure(mayHaveRunThere, reason, services.clock().nowMs()));
    log("attempt_failed", attempt, reason);
  }

  @Override
  public void onStopped(TargetAttempt attempt, SendObstacle obstacle) {
    log("send_stopped", attempt, obstacle.label());
    switch (obstacle.condition()) {
      case CALLER_PRESENT -> onCallerGone();
      case TIME_LEFT -> decide(() -> machine.onDeadline(false));
      case ROUTE_IN_FORCE -> decide(() -> machine.onNoSlot(obstacle.label()));
      case QUARANTINE_CLEAR -> isRefused(Math.max(1, quarantinedForMs()));
      default -> onTargetUnfit(obstacle);
    }
  }

  /** Another target may do; while what is known of all of them is too old, none does. */
  private void onTargetUnfit(SendObstacle obstacle) {
    if (obstacle.condition() == SendCondition.TARGET_SERVES && obstacle.outdated()) {
      decide(() -> machine.onNoSlot(obstacle.label()));
    } else {
      long nowMs = services.clock().nowMs();
      decide(() -> machine.onFailure(false, obstacle.label(), nowMs));
    }
  }

  private void onDeadline() {
    decide(() -> machine.onDeadline(current != null && !current.preventHandover()));
  }

  private void onCallerGone() {
    decide(machine::onCallerGone);
  }

  private void decide(Supplier<List<ExchangeEffect>> event) {
    List<ExchangeEffect> effects;
    synchronized (this) {
      effects = event.get();
    }
    effects.forEach(this::carryOut);
  }

  private void carryOut(ExchangeEffect effect) {
    if (effect instanceof ExchangeEffect.AcquireSlot seek) {
      patience = services.timers().schedule(this::onOutOfPatience, seek.patienceMs());
      services.dispatcher().submit(wish);
    } else if (effect instanceof ExchangeEffect.CancelSlotRequest) {
      services.dispatcher().withdraw(wish);
    } else if (effect instanceof ExchangeEffect.Send) {
      send();
    } else if (effect instanceof ExchangeEffect.ReturnSlot) {
      services.dispatcher().giveBack(slot, wish, AttemptEnd.GIVEN_UP, 0);
    } else if (effect instanceof ExchangeEffect.AvoidTarget) {
      log("request_repeated", current, "elsewhere");
      wish.tried().add(current.target().id());
    } else if (effect instanceof ExchangeEffect.AwaitNewerOwners pause) {
      wish.avoidOwnersUsed();
      services.timers().schedule(this::onOwnerPauseOver, pause.pauseMs());
    } else if (effect instanceof ExchangeEffect.Abandon abandon) {
      abandon(abandon.late());
    } else {
      end(effect);
    }
  }

  /** The attempt has to be known to whoever ends the request, or must never begin. */
  private void send() {
    TargetAttempt attempt = new TargetAttempt(services, call, wish, slot, machine.runs(), this);
    boolean begins;
    synchronized (this) {
      begins = !machine.isDone();
      if (begins) {
        current = attempt;
      }
    }
    if (begins) {
      attempt.start();
    } else {
      services.dispatcher().giveBack(slot, wish, AttemptEnd.GIVEN_UP, 0);
    }
  }

  private void abandon(boolean late) {
    TargetAttempt attempt = current;
    if (attempt == null) {
      return;
    }
    if (late) {
      attempt.onTooLate();
    }
    attempt.abandon(late ? "timeout" : "the caller is gone");
  }

  private void end(ExchangeEffect last) {
    deadline.cancel();
    patience.cancel();
    call.unwatchCaller();
    if (last instanceof ExchangeEffect.Relay relay) {
      relay(relay.failed());
    } else if (last instanceof ExchangeEffect.Refuse refuse) {
      answer(CallerAnswer.UNAVAILABLE, refuse.retryAfterMs(), refuse.reason());
    } else if (last instanceof ExchangeEffect.GiveUp giveUp) {
      int status = giveUp.timedOut() ? CallerAnswer.GATEWAY_TIMEOUT : CallerAnswer.BAD_GATEWAY;
      answer(status, 0, giveUp.reason());
    } else {
      count(RequestOutcome.CALLER_GONE);
      log("caller_gone", current, "closed");
      try {
        call.callback().failed(new CallerGoneException());
      } finally {
        onEnded.run();
      }
    }
  }

  private void relay(boolean failed) {
    TargetAnswerBody whole = answer;
    count(failed ? RequestOutcome.FAILED_AT_TARGET : RequestOutcome.ANSWERED);
    String event = failed ? "request_failed_at_target" : "request_served";
    log(event, current, "status_" + whole.status());
    CallerAnswer.relay(
        call.response(),
        whole.status(),
        CallerHeaders.passedOn(whole.headers()),
        whole.body(),
        services.stopping().getAsBoolean(),
        Callback.from(call.callback(), onEnded));
  }

  private void answer(int status, long retryAfterMs, String reason) {
    count(outcomeOf(status));
    services.metrics().onGivenUp(reason);
    log("request_given_up", current, "status=" + status + " reason=" + reason);
    CallerAnswer.own(
        call.response(),
        status,
        retryAfterMs,
        services.stopping().getAsBoolean(),
        Callback.from(call.callback(), onEnded));
  }

  /** Refused work has to count too, or the owner of a hot key looks less busy than it is. */
  private void countUnservedWork() {
    if (call.key().isPresent()) {
      long meanMs = services.dispatcher().meanTimeMs(call.route().name());
      services.keyWork().add(call.service(), call.key().getAsInt(), meanMs);
    }
  }

  private boolean takesBudget() {
    int processes = services.state().current().processes();
    return services.budgets().tryRepeat(call.service(), processes);
  }

  private void onOwnerPauseOver() {
    wish.acceptAnyOwner();
    services.dispatcher().serveWaiting(call.service());
  }

  private static RequestOutcome outcomeOf(int status) {
    return switch (status) {
      case CallerAnswer.UNAVAILABLE -> RequestOutcome.REFUSED;
      case CallerAnswer.GATEWAY_TIMEOUT -> RequestOutcome.TIMED_OUT;
      default -> RequestOutcome.BROKEN;
    };
  }

  private void count(RequestOutcome outcome) {
    long tookMs = services.clock().nowMs() - call.arrivedMs();
    services.metrics().onEnded(call.route().name(), outcome, tookMs);
  }

  /** Writes what was decided, and how new what decided it was. */
  private void log(String event, TargetAttempt attempt, String why) {
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

  /** A whole answer of a target. */
  private record TargetAnswerBody(int status, HttpFields headers, byte[] body) {}
}
