package io.cuminvalve.router.caller;

import io.cuminvalve.core.request.RequestEffect;
import io.cuminvalve.core.request.RequestStateMachine;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.observe.RequestTrail;
import io.cuminvalve.router.observe.StepKind;
import io.cuminvalve.router.request.IntentListener;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.request.SlotTicket;
import io.cuminvalve.router.request.Timers;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;

/**
 * Carries one request of a caller: feeds events to its {@link RequestStateMachine} one at a time
 * and carries out the effects in their order.
 */
final class CallerExchange {

  /** When a caller that met a stopping router should come back. */
  private static final long STOPPING_RETRY_AFTER_MS = 500;

  private final ExchangeServices services;
  private final RequestContext context;
  private final RequestStateMachine machine;
  private final RequestTrail trail;
  private final CallerCall call;
  private final RequestBody body;
  private final Consumer<CallerExchange> onEnded;
  private final Queue<RequestEffect> pending = new ArrayDeque<>();
  private boolean carryingOut;
  private Timers.Cancellable deadline = () -> {};
  private SlotTicket ticket;
  private Slot slot;
  private TargetAttempt attempt;
  private AnswerRelay relay;

  CallerExchange(
      ExchangeServices services,
      RequestContext context,
      RequestStateMachine machine,
      RequestTrail trail,
      CallerCall call,
      Consumer<CallerExchange> onEnded) {
    this.services = services;
    this.context = context;
    this.machine = machine;
    this.trail = trail;
    this.call = call;
    this.body = call.body(this::onBodyConsumed, this::watchCaller);
    this.onEnded = onEnded;
  }

  void start() {
    long nowMs = services.clock().nowMs();
    long remainingMs = Math.max(0, context.deadlineMs() - nowMs);
    deadline = services.timers().schedule(this::onDeadline, remainingMs);
    if (body.isWhollyRead()) {
      watchCaller();
    }
    on(() -> machine.start(nowMs));
  }

  void onCallerGone() {
    on(machine::onCallerGone);
  }

  void onRouterStopping() {
    on(() -> machine.onRouterStopping(STOPPING_RETRY_AFTER_MS));
  }

  private void onDeadline() {
    on(machine::onDeadline);
  }

  private synchronized void onBodyConsumed() {
    machine.onBodyConsumed();
  }

  private void watchCaller() {
    call.watch(this::onCallerGone);
  }

  private void onRetryTimer() {
    on(machine::onRetryTimer);
  }

  private void onAttemptClosed(int closed) {
    on(() -> machine.onAttemptClosed(closed));
  }

  /**
   * Feeds one event to the machine, then carries out what is to be done.
   *
   * <p>Effects are carried out without the monitor: a call to the HTTP client may run the events of
   * another exchange on this thread, and two exchanges that did so to each other would wait for
   * ever. Effects of an event that comes meanwhile wait for their turn.
   */
  private void on(Supplier<List<RequestEffect>> event) {
    synchronized (this) {
      pending.addAll(event.get());
      if (carryingOut) {
        return;
      }
      carryingOut = true;
    }
    RequestEffect next = nextEffect();
    while (next != null) {
      carryOut(next);
      next = nextEffect();
    }
  }

  private synchronized RequestEffect nextEffect() {
    RequestEffect next = pending.poll();
    carryingOut = next != null;
    return next;
  }

  private void carryOut(RequestEffect effect) {
    if (effect instanceof RequestEffect.ClaimIntent) {
      claim();
    } else if (effect instanceof RequestEffect.SettleIntent settle) {
      services.intents().settle(context, settle.verdict());
    } else if (effect instanceof RequestEffect.Admit admit) {
      admit(admit.attempt());
    } else if (effect instanceof RequestEffect.WithdrawAdmission) {
      ticket.withdraw();
    } else if (effect instanceof RequestEffect.Dispatch dispatch) {
      dispatch(dispatch.attempt());
    } else if (effect instanceof RequestEffect.ReleaseSlot release) {
      ticket.release(release.use());
    } else if (effect instanceof RequestEffect.CancelAtTarget cancel) {
      cancel(cancel.attempt());
    } else if (effect instanceof RequestEffect.RetryAfter retry) {
      step(StepKind.BACKING_OFF, "");
      services.timers().schedule(this::onRetryTimer, retry.delayMs());
    } else if (effect instanceof RequestEffect.RelayHead relay) {
      relay(relay.attempt());
    } else if (effect instanceof RequestEffect.DropAnswer) {
      step(StepKind.ANSWER_DROPPED, "");
    } else if (effect instanceof RequestEffect.Finish finish) {
      finish(finish.outcome());
    }
  }

  private void step(StepKind kind, String detail) {
    trail.step(kind, slot == null ? null : slot.target().id(), detail);
  }

  private void claim() {
    step(StepKind.CLAIMING, "");
    services.intents().claim(context, new Claim());
  }

  private void admit(int number) {
    step(StepKind.WAITING, "");
    ticket = services.slots().admit(context, new Admission(number));
  }

  private void dispatch(int number) {
    trail.shard(slot.shard());
    step(StepKind.ADMITTED, "");
    attempt = new TargetAttempt(services, context, number, slot, body, new Attempt(number));
    Request request = call.request();
    HttpFields headers = CallerHeaders.passedOn(request.getHeaders());
    attempt.start(request.getMethod(), request.getHttpURI().getPathQuery(), headers);
  }

  private void cancel(int number) {
    step(StepKind.CANCELLED_AT_TARGET, "");
    attempt.cancel(() -> onAttemptClosed(number));
  }

  private void relay(int number) {
    step(StepKind.ANSWERED, "");
    trail.status(attempt.answer().status());
    closeAfterAnswerIfBodyIsLeft();
    relay = new AnswerRelay(call.response(), new Relay(number));
    relay.start(attempt.answer(), context.id());
  }

  private void finish(Outcome outcome) {
    deadline.cancel();
    call.unwatch();
    if (outcome.end() == Outcome.End.REFUSED) {
      trail.status(outcome.reason().httpStatus());
    }
    trail.end(outcome);
    switch (outcome.end()) {
      case ANSWERED -> call.callback().succeeded();
      case REFUSED -> refuse(outcome);
      case ABORTED -> abort(outcome);
      default -> call.callback().failed(new AbortedAnswerException(outcome.reason()));
    }
    onEnded.accept(this);
  }

  private void refuse(Outcome outcome) {
    closeAfterAnswerIfBodyIsLeft();
    ErrorAnswer.write(call.response(), context.id(), outcome, call.callback());
  }

  /** An answer of which nothing has left the router yet can still be replaced by an error. */
  private void abort(Outcome outcome) {
    if (!relay.stopUnwritten()) {
      call.callback().failed(new AbortedAnswerException(outcome.reason()));
    } else {
      call.response().reset();
      refuse(outcome);
    }
  }

  /** A rest of the body must not be taken for the next request. */
  private void closeAfterAnswerIfBodyIsLeft() {
    if (call.isHttp1() && !body.isWhollyRead()) {
      call.response().getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
  }

  /** The answer to a claim. */
  private final class Claim implements IntentListener {

    @Override
    public void onGranted() {
      on(machine::onIntentGranted);
    }

    @Override
    public void onRefused(Verdict earlier, RefusalReason reason, long retryAfterMs) {
      on(() -> machine.onIntentRefused(earlier, reason, retryAfterMs));
    }
  }

  /** The answer to a request for a slot. */
  private final class Admission implements SlotListener {

    private final int number;

    Admission(int number) {
      this.number = number;
    }

    @Override
    public void onAdmitted(Slot granted) {
      on(
          () -> {
            slot = granted;
            return machine.onAdmitted(number, services.clock().nowMs());
          });
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMs) {
      on(() -> machine.onAdmissionRefused(number, reason, retryAfterMs));
    }
  }

  /** The events of one attempt. */
  private final class Attempt implements TargetAttempt.Events {

    private final int number;

    Attempt(int number) {
      this.number = number;
    }

    @Override
    public boolean mayHandOver() {
      synchronized (CallerExchange.this) {
        boolean may = machine.onFirstByte(number);
        if (may) {
          step(StepKind.SENT, "");
        }
        return may;
      }
    }

    @Override
    public void onNotSent(Throwable cause) {
      on(
          () -> {
            step(StepKind.NOT_SENT, cause.toString());
            return machine.onConnectFailed(number, services.clock().nowMs());
          });
    }

    @Override
    public void onRefused(TargetRefusal refusal) {
      on(
          () -> {
            step(StepKind.REFUSED_BY_TARGET, refusal.name());
            return machine.onTargetRefused(number, refusal, services.clock().nowMs());
          });
    }

    @Override
    public void onAnswerHead() {
      on(() -> machine.onAnswerHead(number));
    }

    @Override
    public void onCut(Throwable cause) {
      on(
          () -> {
            step(StepKind.CUT, cause.toString());
            return machine.onAnswerCut(number, services.clock().nowMs());
          });
    }
  }

  /** The events of the copy of an answer. */
  private final class Relay implements AnswerRelay.Events {

    private final int number;

    Relay(int number) {
      this.number = number;
    }

    @Override
    public void onRelayed() {
      on(() -> machine.onAnswerEnd(number));
    }

    @Override
    public void onTargetFailed(Throwable cause) {
      on(
          () -> {
            step(StepKind.CUT, cause.toString());
            return machine.onAnswerCut(number, services.clock().nowMs());
          });
    }

    @Override
    public void onCallerFailed(Throwable cause) {
      onCallerGone();
    }
  }
}
