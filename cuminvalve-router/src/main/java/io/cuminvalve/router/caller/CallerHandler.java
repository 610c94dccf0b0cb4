package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.request.RequestProfile;
import io.cuminvalve.core.request.RequestStateMachine;
import io.cuminvalve.core.request.RetryDefaults;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.RetryAdvice;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.observe.RequestTrail;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.request.RequestContext;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Takes requests of callers and starts their exchanges. Never blocks.
 *
 * @since 0.1
 */
public final class CallerHandler extends Handler.Abstract.NonBlocking {

  private final Supplier<CallerRules> rules;
  private final ExchangeServices services;
  private final CallerLimits limits;
  private final RequestIds ids;
  private final RouterMetrics metrics;
  private final Set<CallerExchange> exchanges = ConcurrentHashMap.newKeySet();
  private final IdleSignal idle = new IdleSignal();

  /**
   * Creates a handler.
   *
   * @param rules returns the rules in force, null if there are none yet; not null
   * @param services what each request uses; not null
   * @param limits bounds on requests; not null
   * @param ids makes identifiers; not null
   * @param metrics counts refusals; not null
   */
  public CallerHandler(
      Supplier<CallerRules> rules,
      ExchangeServices services,
      CallerLimits limits,
      RequestIds ids,
      RouterMetrics metrics) {
    this.rules = rules;
    this.services = services;
    this.limits = limits;
    this.ids = ids;
    this.metrics = metrics;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    RequestId id = ids.next();
    CallerCall call = new CallerCall(request, response, callback, null);
    CallerRules inForce = rules.get();
    RefusalReason refusal = refusalBeforeReading(request, inForce);
    if (refusal != RefusalReason.NONE) {
      refuse(id, refusal, call);
      return true;
    }
    RequestHead head = RequestHead.read(inForce.matcher(), id, request, services.clock().nowMs());
    if (head.refusal() != RefusalReason.NONE) {
      refuse(id, head.refusal(), call);
      return true;
    }
    if (call.hasBody() && isSmall(request)) {
      readAhead(head.context(), inForce, call);
    } else {
      begin(head.context(), inForce, call);
    }
    return true;
  }

  /**
   * Takes no more requests; those that were not sent are refused, those in flight go on.
   *
   * @return completes once no request is left
   */
  public CompletableFuture<Void> beginStop() {
    CompletableFuture<Void> empty = idle.stop();
    exchanges.forEach(CallerExchange::onRouterStopping);
    return empty;
  }

  /**
   * Returns how many requests have no outcome yet.
   *
   * @return at least 0
   */
  public int inFlight() {
    return idle.count();
  }

  private RefusalReason refusalBeforeReading(Request request, CallerRules inForce) {
    if (idle.isStopping()) {
      return RefusalReason.ROUTER_STOPPING;
    }
    if (inForce == null) {
      return RefusalReason.NOT_READY;
    }
    if (request.getLength() > limits.maxBodyBytes()) {
      return RefusalReason.BAD_REQUEST;
    }
    return idle.count() >= limits.maxInFlight() ? RefusalReason.QUEUE_FULL : RefusalReason.NONE;
  }

  private boolean isSmall(Request request) {
    return request.getLength() >= 0 && request.getLength() <= limits.keptBodyBytes();
  }

  /** A small body is read whole before a slot is asked for, and can be sent again. */
  private void readAhead(RequestContext context, CallerRules inForce, CallerCall call) {
    Content.Source.asByteArrayAsync(call.request(), limits.keptBodyBytes())
        .whenComplete(
            (bytes, failure) -> {
              if (failure == null) {
                begin(context, inForce, call.withKeptBody(bytes));
              } else {
                call.callback().failed(failure);
              }
            });
  }

  private void begin(RequestContext context, CallerRules inForce, CallerCall received) {
    idle.begin();
    CallerCall call = received.thenRun(idle::end);
    if (idle.isStopping()) {
      refuse(context.id(), RefusalReason.ROUTER_STOPPING, call);
      return;
    }
    RequestProfile profile =
        new RequestProfile(
            context.rule().idempotent(),
            !context.rule().idempotent() && context.idempotencyKey() != null,
            call.keptBody() != null || !call.hasBody(),
            context.deadlineMs());
    RequestStateMachine machine = new RequestStateMachine(profile, inForce.retryDecider());
    inForce.onRequest().run();
    RequestTrail trail = services.observer().begin(context);
    CallerExchange exchange =
        new CallerExchange(services, context, machine, trail, call, exchanges::remove);
    exchanges.add(exchange);
    call.request().addFailureListener(failure -> exchange.onCallerGone());
    exchange.start();
    if (idle.isStopping()) {
      exchange.onRouterStopping();
    }
  }

  /** An earlier send of the same idempotency key may have run, whatever becomes of this one. */
  private void refuse(RequestId id, RefusalReason reason, CallerCall call) {
    metrics.onUnrecognised(reason);
    boolean resendPossible = call.request().getHeaders().contains(CallerHeaders.IDEMPOTENCY_KEY);
    Verdict verdict = resendPossible ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    boolean later = reason.advice(verdict) == RetryAdvice.RETRY;
    long retryAfterMs = later ? RetryDefaults.DEFAULT_RETRY_AFTER_MS : 0;
    Outcome outcome = Outcome.refused(verdict, reason, retryAfterMs);
    ErrorAnswer.write(call.response(), id, outcome, call.callback());
  }
}
