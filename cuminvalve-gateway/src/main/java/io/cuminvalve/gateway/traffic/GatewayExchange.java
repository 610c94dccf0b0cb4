package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeEffect;
import io.cuminvalve.core.exchange.ExchangeStateMachine;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.gateway.observe.RequestOutcome;
import io.cuminvalve.router.caller.CallerHeaders;
import io.cuminvalve.router.request.Timers.Cancellable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/**
 * Processes one request from the moment it has been read to its single final response, by executing
 * the effects that {@link ExchangeStateMachine} decides on.
 *
 * <p>Decisions are made under this object's monitor, effects are executed without it.
 */
final class GatewayExchange
    implements TargetAttempt.Listener, SlotRequest.Listener, PeerForwarding.Exchange {

  private final ExchangeServices services;
  private final CallerRequest call;
  private final SlotRequest slotRequest;
  private final ExchangeStateMachine machine;
  private final PeerForwarding forwarding;
  private final ExchangeLog decisions;
  private final Runnable onEnded;
  private final Map<String, Integer> attemptsByAddress = new HashMap<>();

  private volatile Slot slot;
  private volatile TargetAttempt currentAttempt;
  private volatile TargetAnswerBody response;
  private volatile TargetAnswerBody relayed;
  private volatile Cancellable deadlineTimer = () -> {};
  private volatile Cancellable slotWaitTimer = () -> {};

  GatewayExchange(ExchangeServices services, CallerRequest call, Runnable onEnded) {
    this.services = services;
    this.call = call;
    this.onEnded = onEnded;
    this.slotRequest =
        new SlotRequest(
            call.route(), call.service(), call.key(), call.body().length(), call.times(), this);
    this.machine =
        new ExchangeStateMachine(call.profile(), this::tryTakeRetryBudget, call.earlierRuns());
    this.decisions = new ExchangeLog(services, call, machine);
    this.forwarding = new PeerForwarding(services, call, machine, this);
  }

  void start() {
    if (call.relayed().isEmpty()) {
      services.budgets().onRequest(call.service());
    }
    call.watchCaller(this::onCallerGone);
    long nowMs = services.clock().nowMs();
    deadlineTimer =
        services.timers().schedule(this::onDeadline, Math.max(0, call.deadlineMs() - nowMs));
    if (endIfQuarantined(services.quarantine().admit(call.identity()))) {
      return;
    }
    if (!services.stop().admits(call.deadline())) {
      handOver("stopping");
      return;
    }
    boolean shed = services.dispatcher().shouldShed(slotRequest);
    if (shed) {
      recordUnservedLoad();
    }
    decide(() -> machine.onStart(shed, nowMs));
  }

  @Override
  public void onPlaced(Slot placed) {
    slotWaitTimer.cancel();
    slot = placed;
    if (endIfQuarantined(quarantinedForMs())) {
      services.dispatcher().release(placed, slotRequest, AttemptOutcome.GIVEN_UP, 0);
    } else {
      decide(machine::onSlot);
    }
  }

  @Override
  public void onRefused(TargetRefusal refusal) {
    slotWaitTimer.cancel();
    // The peer that serves a forwarded request counts its load.
    if (refusal.cause() != TargetRefusal.Cause.UNREACHABLE || !forwarding.isPossible()) {
      recordUnservedLoad();
    }
    switch (refusal.cause()) {
      case REST -> {
        decisions.logRefusal("request_held_off", refusal, "");
        decide(() -> machine.onTargetBackingOff(refusal.retryAfterMs()));
      }
      case STUCK_KEY -> {
        decisions.logRefusal("request_key_stuck", refusal, "");
        decide(() -> machine.onStuckKey(refusal.retryAfterMs()));
      }
      case EVACUATED -> {
        decisions.logRefusal("request_evacuated", refusal, "");
        decide(() -> machine.onServiceEvacuated(refusal.retryAfterMs()));
      }
      case HOPELESS_WAIT -> {
        decisions.logRefusal("request_hopeless", refusal, " wait_ms=" + refusal.waitMs());
        decide(() -> machine.onNoPlace("wait_hopeless", refusal.retryAfterMs()));
      }
      case UNREACHABLE -> {
        decisions.logRefusal("request_unreachable", refusal, "");
        long nowMs = services.clock().nowMs();
        decide(() -> machine.onUnreachable(forwarding.isPossible(), refusal.retryAfterMs(), nowMs));
      }
      default -> {
        decisions.logRefusal("request_limited", refusal, " limit_per_s=" + refusal.limitPerS());
        decide(() -> machine.onLimited(refusal.retryAfterMs()));
      }
    }
  }

  private long quarantinedForMs() {
    return services.quarantine().refusedForMs(call.identity(), machine.runs());
  }

  /**
   * Ends the request if it is quarantined, which may also happen while it waits. Returns whether it
   * was.
   */
  private boolean endIfQuarantined(long forMs) {
    if (forMs > 0) {
      decide(() -> machine.onQuarantined(forMs));
    }
    return forMs > 0;
  }

  private void onSlotWaitTimeout() {
    OptionalLong moreMs = services.dispatcher().reviewWait(slotRequest);
    if (moreMs.isPresent()) {
      Cancellable review = services.timers().schedule(this::onSlotWaitTimeout, moreMs.getAsLong());
      slotWaitTimer = review;
      if (!services.dispatcher().isWaiting(slotRequest)) {
        review.cancel();
      }
    } else if (services.dispatcher().withdraw(slotRequest)) {
      recordUnservedLoad();
      String reason = services.dispatcher().waitReason(slotRequest);
      OptionalLong retryAfterMs = services.dispatcher().retryAfterMs(slotRequest);
      decide(
          () ->
              retryAfterMs.isPresent()
                  ? machine.onNoPlace(reason, retryAfterMs.getAsLong())
                  : machine.onNoSlot(reason));
    }
  }

  @Override
  public void onResponse(TargetAttempt attempt, int status, HttpFields headers, BufferedBody body) {
    decideOn(
        new TargetAnswerBody(status, headers, body),
        () -> machine.onAnswer(status, services.clock().nowMs()));
  }

  @Override
  public void onNotExecuted(TargetAttempt attempt, int status) {
    decide(() -> machine.onNotExecuted(services.clock().nowMs()));
    decisions.log("request_refused_by_target", attempt, "status_" + status);
  }

  @Override
  public void onFailure(TargetAttempt attempt, boolean mayHaveRunThere, String reason) {
    decide(() -> machine.onFailure(mayHaveRunThere, reason, services.clock().nowMs()));
    decisions.log("attempt_failed", attempt, reason);
  }

  @Override
  public void onStopped(TargetAttempt attempt, SendObstacle obstacle) {
    decisions.log("send_stopped", attempt, obstacle.label());
    switch (obstacle.condition()) {
      case CALLER_PRESENT -> onCallerGone();
      case TIME_LEFT -> decide(() -> machine.onDeadline(false));
      case ROUTE_IN_FORCE -> decide(() -> machine.onNoSlot(obstacle.label()));
      case ENDS_BEFORE_STOP -> handOver(obstacle.label());
      case QUARANTINE_CLEAR -> endIfQuarantined(Math.max(1, quarantinedForMs()));
      default -> onTargetUnusable(obstacle);
    }
  }

  /** Has a peer send the request, since this process stops, or ends it if there is none. */
  private void handOver(String reason) {
    long nowMs = services.clock().nowMs();
    decide(() -> machine.onStopping(forwarding.isPossible(), reason, nowMs));
  }

  /** Tries another target, unless the list of targets is outdated as a whole. */
  private void onTargetUnusable(SendObstacle obstacle) {
    if (obstacle.condition() == SendCondition.TARGET_SERVES && obstacle.outdated()) {
      decide(() -> machine.onNoSlot(obstacle.label()));
    } else {
      long nowMs = services.clock().nowMs();
      decide(() -> machine.onFailure(false, obstacle.label(), nowMs));
    }
  }

  private void onDeadline() {
    decide(() -> machine.onDeadline(isHandedOver()));
  }

  /** Returns whether sending may have begun; prevents it otherwise. */
  private boolean isHandedOver() {
    if (forwarding.hasBegun()) {
      return !forwarding.preventHandover();
    }
    return currentAttempt != null && !currentAttempt.preventHandover();
  }

  /** Ends the request, if it has not ended, since this process ends. */
  void onStopLimit() {
    decide(() -> machine.onStopLimit(isHandedOver()));
  }

  private void onCallerGone() {
    decide(machine::onCallerGone);
  }

  @Override
  public void decideOn(PeerAnswer answer, Supplier<List<ExchangeEffect>> event) {
    decideOn(new TargetAnswerBody(answer.status(), answer.headers(), answer.body()), event);
  }

  /** Decides on a response and releases its body, unless that response is being relayed. */
  private void decideOn(TargetAnswerBody complete, Supplier<List<ExchangeEffect>> event) {
    response = complete;
    decide(event);
    if (relayed != complete) {
      complete.body().release();
    }
  }

  @Override
  public void decide(Supplier<List<ExchangeEffect>> event) {
    List<ExchangeEffect> effects;
    synchronized (this) {
      effects = event.get();
    }
    effects.forEach(this::execute);
  }

  private void execute(ExchangeEffect effect) {
    if (effect instanceof ExchangeEffect.AcquireSlot acquire) {
      slotWaitTimer = services.timers().schedule(this::onSlotWaitTimeout, acquire.patienceMs());
      services.submission().accept(slotRequest);
    } else if (effect instanceof ExchangeEffect.CancelSlotRequest) {
      services.dispatcher().withdraw(slotRequest);
    } else if (effect instanceof ExchangeEffect.Send) {
      send();
    } else if (effect instanceof ExchangeEffect.ForwardToPeer) {
      forwarding.forward();
    } else if (effect instanceof ExchangeEffect.ReturnSlot) {
      services.dispatcher().release(slot, slotRequest, AttemptOutcome.GIVEN_UP, 0);
    } else if (effect instanceof ExchangeEffect.AvoidTarget) {
      decisions.log("request_repeated", currentAttempt, "elsewhere");
      slotRequest.tried().add(currentAttempt.target().id());
    } else if (effect instanceof ExchangeEffect.AwaitNewerOwners pause) {
      slotRequest.avoidCurrentOwners();
      services.timers().schedule(this::onOwnerPauseElapsed, pause.pauseMs());
    } else if (effect instanceof ExchangeEffect.Abandon abandon) {
      abandon(abandon.late());
    } else {
      end(effect);
    }
  }

  /**
   * Starts an attempt. It is published under the monitor before it starts, so that whoever ends the
   * request can abandon it; if the request has ended already, the attempt never starts.
   */
  private void send() {
    int earlierAttempts = countAttempt(slot.target().address());
    TargetAttempt attempt =
        new TargetAttempt(services, call, slotRequest, slot, machine.runs(), earlierAttempts, this);
    boolean begins;
    synchronized (this) {
      begins = !machine.isDone();
      if (begins) {
        currentAttempt = attempt;
      }
    }
    if (begins) {
      attempt.start();
    } else {
      services.dispatcher().release(slot, slotRequest, AttemptOutcome.GIVEN_UP, 0);
    }
  }

  /** Counts an attempt at an address and returns how many there were before. */
  private synchronized int countAttempt(String address) {
    return attemptsByAddress.merge(address, 1, Integer::sum) - 1;
  }

  private void abandon(boolean late) {
    forwarding.abandon(late ? "timeout" : "request_ended");
    TargetAttempt attempt = currentAttempt;
    if (attempt == null) {
      return;
    }
    if (late) {
      attempt.onTimedOut();
    }
    attempt.abandon(late ? "timeout" : "the request has ended");
  }

  private void end(ExchangeEffect last) {
    deadlineTimer.cancel();
    slotWaitTimer.cancel();
    call.unwatchCaller();
    if (last instanceof ExchangeEffect.Relay relay) {
      relay(relay.failed());
    } else if (last instanceof ExchangeEffect.Refuse refuse) {
      respond(CallerResponseWriter.UNAVAILABLE, refuse.retryAfterMs(), refuse.reason());
    } else if (last instanceof ExchangeEffect.GiveUp giveUp) {
      int status =
          giveUp.timedOut()
              ? CallerResponseWriter.GATEWAY_TIMEOUT
              : CallerResponseWriter.BAD_GATEWAY;
      respond(status, 0, giveUp.reason());
    } else {
      count(RequestOutcome.CALLER_GONE);
      decisions.log("caller_gone", currentAttempt, "closed");
      Callback.from(onEnded, call.callback()).failed(new CallerGoneException());
    }
  }

  private void relay(boolean failed) {
    TargetAnswerBody complete = response;
    relayed = complete;
    count(failed ? RequestOutcome.FAILED_AT_TARGET : RequestOutcome.ANSWERED);
    if (!failed && services.clock().nowMs() > slotRequest.times().aimMs()) {
      services.metrics().onServedPastAim(call.service().value());
    }
    String event = failed ? "request_failed_at_target" : "request_served";
    decisions.log(event, currentAttempt, "status_" + complete.status());
    forwarding.addCounts();
    CallerResponseWriter.relay(
        call.response(),
        complete.status(),
        CallerHeaders.passedOn(complete.headers()),
        complete.body(),
        services.stop().isStopping() && call.claimLast(),
        Callback.from(complete.body()::release, Callback.from(onEnded, call.callback())));
  }

  private void respond(int status, long retryAfterMs, String reason) {
    count(outcomeOf(status));
    services.metrics().onGivenUp(reason);
    decisions.log("request_given_up", currentAttempt, "status=" + status + " reason=" + reason);
    forwarding.addCounts();
    CallerResponseWriter.writeEmpty(
        call.response(),
        status,
        retryAfterMs,
        services.stop().isStopping() && call.claimLast(),
        Callback.from(onEnded, call.callback()));
  }

  /** Counts the load of refused requests; without it the owner of a hot key would look idle. */
  private void recordUnservedLoad() {
    if (call.key().isPresent()) {
      long meanMs = services.dispatcher().meanTimeMs(call.route().name());
      services.keyLoad().add(call.service(), call.key().getAsInt(), meanMs);
    }
  }

  private boolean tryTakeRetryBudget() {
    int processes = services.state().current().processes();
    return services.budgets().tryRetry(call.service(), processes);
  }

  private void onOwnerPauseElapsed() {
    slotRequest.acceptAnyOwner();
    services.dispatcher().dispatchWaiting(call.service());
  }

  private static RequestOutcome outcomeOf(int status) {
    return switch (status) {
      case CallerResponseWriter.UNAVAILABLE -> RequestOutcome.REFUSED;
      case CallerResponseWriter.GATEWAY_TIMEOUT -> RequestOutcome.TIMED_OUT;
      default -> RequestOutcome.BROKEN;
    };
  }

  private void count(RequestOutcome outcome) {
    long tookMs = services.clock().nowMs() - call.arrivedMs();
    services.metrics().onEnded(call.route().name(), outcome, tookMs);
  }

  /** A response of a target, buffered completely. */
  private record TargetAnswerBody(int status, HttpFields headers, BufferedBody body) {}
}
