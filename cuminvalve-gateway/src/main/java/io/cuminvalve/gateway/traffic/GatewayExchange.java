package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.observe.RequestOutcome;
import io.cuminvalve.router.caller.CallerHeaders;
import io.cuminvalve.router.request.Timers.Cancellable;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/**
 * One request, from the moment it has been read to its one final answer.
 *
 * <p>A request that is not idempotent goes to another target only after a proof that it did not
 * run. One that waits for a slot is refused early, while the caller can still go elsewhere. Once
 * the caller's time or the route's timeout is over, the final answer goes out at once. All state is
 * guarded by this object's monitor; calls to others are made without it.
 */
final class GatewayExchange implements TargetAttempt.Listener {

  /** How long a request may wait for a slot, as a part of the time within which it is due. */
  private static final double WAIT_SHARE = 0.25;

  /** Taken off that time: the way to the caller and back, and timers that fire late. */
  private static final long WAIT_RESERVE_MS = 30;

  /** When a caller whose request did not run should come back; milliseconds. */
  private static final long RETRY_AFTER_MS = 250;

  /** The same if the target that it needs has too much to do: that lasts longer than a move. */
  private static final long BUSY_RETRY_AFTER_MS = 500;

  /** Pause before a request is offered again to the same owner; milliseconds. */
  private static final long SAME_OWNER_PAUSE_MS = 40;

  /** Proofs that a request did not run after which it is refused. */
  private static final int MAX_REFUSALS = 4;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final PlacementWish wish;
  private final Runnable onEnded;

  private boolean done;
  private TargetAttempt current;
  private boolean mayHaveRun;
  private int runs;
  private int refusals;
  private Cancellable deadline = () -> {};
  private Cancellable patience = () -> {};

  GatewayExchange(ExchangeServices services, CallerRequest call, Runnable onEnded) {
    this.services = services;
    this.call = call;
    this.onEnded = onEnded;
    this.wish =
        new PlacementWish(
            call.route(), call.service(), call.key(), call.body().length, this::onPlaced);
  }

  void start() {
    services.budgets().onRequest(call.service());
    call.watchCaller(this::onCallerGone);
    long nowMs = services.clock().nowMs();
    deadline = services.timers().schedule(this::onDeadline, Math.max(0, call.deadlineMs() - nowMs));
    if (services.dispatcher().turnsAway(wish)) {
      countUnservedWork();
      giveUp("overload_busy");
    } else {
      seekSlot();
    }
  }

  private long patienceMs() {
    Route route = call.route();
    long limitMs =
        call.arrivedMs() + (long) (route.targetLatencyMs() * WAIT_SHARE) - WAIT_RESERVE_MS;
    return Math.max(SAME_OWNER_PAUSE_MS, limitMs - services.clock().nowMs());
  }

  private void seekSlot() {
    patience = services.timers().schedule(this::onOutOfPatience, patienceMs());
    services.dispatcher().submit(wish);
  }

  private void onPlaced(Slot slot) {
    patience.cancel();
    TargetAttempt attempt;
    synchronized (this) {
      if (done) {
        services.dispatcher().giveBack(slot, wish, AttemptEnd.GIVEN_UP, 0);
        return;
      }
      attempt = new TargetAttempt(services, call, wish, slot, this);
      current = attempt;
    }
    attempt.start();
  }

  private void onOutOfPatience() {
    if (services.dispatcher().withdraw(wish)) {
      countUnservedWork();
      giveUp(services.dispatcher().whyWaiting(wish));
    }
  }

  /** Refused work has to count too, or the owner of a hot key looks less busy than it is. */
  private void countUnservedWork() {
    if (call.key().isPresent()) {
      long meanMs = services.dispatcher().meanTimeMs(call.route().name());
      services.keyWork().add(call.service(), call.key().getAsInt(), meanMs);
    }
  }

  /** Ends a request that no target is working on. */
  private void giveUp(String reason) {
    boolean ran;
    synchronized (this) {
      ran = mayHaveRun;
    }
    if (ran) {
      answer(CallerAnswer.BAD_GATEWAY, 0, reason);
    } else {
      boolean busy = reason.endsWith("_busy");
      answer(CallerAnswer.UNAVAILABLE, busy ? BUSY_RETRY_AFTER_MS : RETRY_AFTER_MS, reason);
    }
  }

  @Override
  public void onAnswer(TargetAttempt attempt, int status, HttpFields headers, byte[] body) {
    boolean failed = status >= CallerAnswer.BAD_GATEWAY - 2;
    boolean repeats;
    synchronized (this) {
      if (done) {
        return;
      }
      mayHaveRun = true;
      runs++;
      repeats = failed && call.key().isEmpty() && mayRepeat();
    }
    if (repeats) {
      wish.tried().add(attempt.target().id());
      log("request_repeated", attempt, "status_" + status);
      seekSlot();
      return;
    }
    if (finish()) {
      count(failed ? RequestOutcome.FAILED_AT_TARGET : RequestOutcome.ANSWERED);
      log(failed ? "request_failed_at_target" : "request_served", attempt, "status_" + status);
      HttpFields passed = CallerHeaders.passedOn(headers);
      CallerAnswer.relay(
          call.response(), status, passed, body, services.stopping().getAsBoolean(), ending());
    }
  }

  @Override
  public void onNotExecuted(TargetAttempt attempt, int status) {
    boolean repeats;
    synchronized (this) {
      if (done) {
        return;
      }
      refusals++;
      repeats = refusals < MAX_REFUSALS && hasTime() && takesBudget();
    }
    log("request_refused_by_target", attempt, "status_" + status);
    if (repeats) {
      retryElsewhere(attempt);
    } else {
      giveUp("refused_by_target");
    }
  }

  @Override
  public void onFailure(TargetAttempt attempt, boolean mayHaveRunThere, String reason) {
    boolean repeats;
    synchronized (this) {
      if (done) {
        return;
      }
      if (mayHaveRunThere) {
        mayHaveRun = true;
        runs++;
        repeats = mayRepeat();
      } else {
        refusals++;
        repeats = refusals < MAX_REFUSALS && hasTime();
      }
    }
    log("attempt_failed", attempt, reason);
    if (repeats) {
      retryElsewhere(attempt);
    } else {
      giveUp(reason);
    }
  }

  /** For callers that hold the monitor. */
  private boolean mayRepeat() {
    return call.route().idempotent()
        && runs < call.route().maxAttempts()
        && hasTime()
        && takesBudget();
  }

  private boolean hasTime() {
    return call.deadlineMs() - services.clock().nowMs() > SAME_OWNER_PAUSE_MS;
  }

  private boolean takesBudget() {
    int processes = services.state().current().processes();
    return services.budgets().tryRepeat(call.service(), processes);
  }

  private void retryElsewhere(TargetAttempt attempt) {
    if (call.key().isEmpty()) {
      wish.tried().add(attempt.target().id());
      seekSlot();
      return;
    }
    // Only the owner may run it. Either somebody else is the owner by now, or the pause helps.
    wish.avoidOwnersUsed();
    services.timers().schedule(this::onOwnerPauseOver, SAME_OWNER_PAUSE_MS);
    seekSlot();
  }

  private void onOwnerPauseOver() {
    wish.acceptAnyOwner();
    services.dispatcher().serveWaiting(call.service());
  }

  private void onDeadline() {
    TargetAttempt attempt;
    boolean ran;
    synchronized (this) {
      if (done) {
        return;
      }
      attempt = current;
      ran = mayHaveRun || (attempt != null && attempt.isHandedOver());
    }
    services.dispatcher().withdraw(wish);
    if (ran) {
      answer(CallerAnswer.GATEWAY_TIMEOUT, 0, "timeout");
    } else {
      answer(CallerAnswer.UNAVAILABLE, RETRY_AFTER_MS, "timeout_unsent");
    }
    if (attempt != null) {
      attempt.onTooLate();
      attempt.abandon("timeout");
    }
  }

  private void onCallerGone() {
    TargetAttempt attempt;
    synchronized (this) {
      attempt = current;
    }
    if (!finish()) {
      return;
    }
    services.dispatcher().withdraw(wish);
    if (attempt != null) {
      attempt.abandon("the caller is gone");
    }
    count(RequestOutcome.CALLER_GONE);
    log("caller_gone", attempt, "closed");
    call.callback().failed(new CallerGoneException());
    onEnded.run();
  }

  private void answer(int status, long retryAfterMs, String reason) {
    if (finish()) {
      count(outcomeOf(status));
      services.metrics().onGivenUp(reason);
      log("request_given_up", current, "status=" + status + " reason=" + reason);
      boolean closes = services.stopping().getAsBoolean();
      CallerAnswer.own(call.response(), status, retryAfterMs, closes, ending());
    }
  }

  /** Claims the right to answer. Tells whether nobody had it before. */
  private boolean finish() {
    synchronized (this) {
      if (done) {
        return false;
      }
      done = true;
    }
    deadline.cancel();
    patience.cancel();
    call.unwatchCaller();
    return true;
  }

  private Callback ending() {
    return Callback.from(call.callback(), onEnded);
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
            "id={} route={} service={} key={} target={} runs={} refusals={} age_ms={}"
                + " config={} owners={} targets_age_ms={} why={}",
            call.attemptId(),
            call.route().name(),
            call.service(),
            call.key().isPresent() ? call.key().getAsInt() : "-",
            attempt == null ? "-" : attempt.target().id(),
            runs,
            refusals,
            nowMs - call.arrivedMs(),
            known.configuration().map(RoutingConfiguration::version).orElse(0L),
            known.ownersVersion(),
            nowMs - services.state().targetsConfirmedMs(),
            why);
  }
}
