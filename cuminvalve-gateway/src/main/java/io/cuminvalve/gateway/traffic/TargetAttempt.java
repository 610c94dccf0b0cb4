package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetOccupancy;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.send.ConditionLookup;
import io.cuminvalve.core.send.SendKind;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.target.TargetAnswer;
import io.cuminvalve.router.target.TargetExchange;
import io.cuminvalve.router.target.TargetListener;
import io.cuminvalve.router.target.TargetRequest;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * One attempt to send a request to a target and to receive its response.
 *
 * <p>A response counts only if it is complete and carries the id of the request: a target may
 * respond twice, late, or with bytes that belong to no request. Any other response closes the
 * connection. All attempts of a request have the same id, so each one has a connection that none of
 * the earlier ones has used.
 */
final class TargetAttempt implements TargetListener {

  /** Receives the result of an attempt. */
  interface Listener {

    /** The target ran the request and its response is complete. */
    void onResponse(TargetAttempt attempt, int status, HttpFields headers, BufferedBody body);

    /** The target stated that it did not run the request and never will. */
    void onNotExecuted(TargetAttempt attempt, int status);

    /** The final check before the first byte failed: nothing was sent, and nothing will be. */
    void onStopped(TargetAttempt attempt, SendObstacle obstacle);

    /** There was no usable response. */
    void onFailure(TargetAttempt attempt, boolean mayHaveRun, String reason);
  }

  private static final int FIRST_ERROR_STATUS = 500;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final SlotRequest slotRequest;
  private final Slot slot;
  private final int runsBefore;
  private final int earlierAttempts;
  private final Listener listener;
  private final TargetExchange exchange;
  private final Handover handover = new Handover();
  private final AtomicBoolean released = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile AttemptOutcome outcome = AttemptOutcome.GIVEN_UP;
  private volatile long sentMs;

  /** How busy the target was when it answered. */
  private volatile Optional<TargetOccupancy> occupancy = Optional.empty();

  /** The send condition that failed before the first byte. */
  private volatile Optional<SendObstacle> obstacle = Optional.empty();

  /**
   * Creates an attempt that is not started.
   *
   * @param services the services that hold the state; not null
   * @param call the request; not null
   * @param slotRequest the request for the slot; not null
   * @param slot the slot at the target; not null
   * @param runsBefore the number of targets on which the request may have run before
   * @param earlierAttempts the number of attempts made before at the address of the target
   * @param listener receives the result; not null
   */
  TargetAttempt(
      ExchangeServices services,
      CallerRequest call,
      SlotRequest slotRequest,
      Slot slot,
      int runsBefore,
      int earlierAttempts,
      Listener listener) {
    this.services = services;
    this.call = call;
    this.slotRequest = slotRequest;
    this.slot = slot;
    this.runsBefore = runsBefore;
    this.earlierAttempts = earlierAttempts;
    this.listener = listener;
    this.sentMs = services.clock().nowMs();
    this.exchange = services.client().prepare(targetRequest(), this);
  }

  private TargetRequest targetRequest() {
    HttpFields.Mutable headers = HttpFields.build(call.headers());
    headers.put(services.headers().targetId(), slot.target().id().name());
    return new TargetRequest(
        SocketAddresses.parse(slot.target().address()),
        call.request().getMethod(),
        call.request().getHttpURI().getPathQuery(),
        headers,
        call.content(),
        earlierAttempts);
  }

  FleetTarget target() {
    return slot.target();
  }

  void start() {
    services.reach().onSent(slot.target().id());
    exchange.start();
  }

  /** Ends the attempt and closes its connection, so that the target stops processing it. */
  void abandon(String reason) {
    ended.set(true);
    exchange.abandon(reason);
  }

  /** Prevents the request from being sent. Returns false if sending may have begun. */
  boolean preventHandover() {
    return handover.prevent();
  }

  @Override
  public boolean onConnection(HttpFields.Mutable headers) {
    sentMs = services.clock().nowMs();
    ConditionLookup conditions =
        new RequestFacts(services, call, slot, runsBefore, () -> !ended.get());
    obstacle = services.gate().check(SendKind.REQUEST, conditions);
    if (obstacle.isPresent()) {
      return false;
    }
    UpperTime now = services.clock().upper();
    headers.put(
        services.headers().deadlineMs(),
        Math.max(1, services.stop().workEnd(call.workEnd()).sinceMs(now)));
    boolean begins = handover.begin();
    if (begins) {
      services.metrics().onSent(sentMs - call.arrivedMs());
    }
    return begins;
  }

  @Override
  public void onAnswer(TargetAnswer response) {
    services.reach().onAnswer(slot.target().id());
    TargetSignals signals = services.signals().read(response);
    if (!isForThisAttempt(signals) || response.headers().contains(HttpHeader.CONTENT_ENCODING)) {
      exchange.abandon("the response belongs to another request");
      fail(true, "foreign_answer");
      return;
    }
    if (!signals.isFromOtherThan(slot.target().id().name())) {
      occupancy = signals.occupancy();
      occupancy.ifPresent(
          stated -> services.dispatcher().onOccupancyStated(slot.target().service()));
      services.signals().onAnswer(slot.target(), signals, sentMs);
    }
    services
        .buffers()
        .readResponse(response.body(), response.headers().getLongField(HttpHeader.CONTENT_LENGTH))
        .whenComplete((body, failure) -> onBodyRead(response, signals, body, failure));
  }

  /** Targets run no request without an id, so only a rejection of such a request has none. */
  private boolean isForThisAttempt(TargetSignals signals) {
    return signals
        .attemptId()
        .map(call.attemptId()::equals)
        .orElse(call.attemptId().isEmpty() && signals.notExecuted());
  }

  private void onBodyRead(
      TargetAnswer response, TargetSignals signals, BufferedBody body, Throwable failure) {
    if (failure instanceof BodyRefusedException refused) {
      exchange.abandon("the response does not fit");
      fail(true, refused.isTooLarge() ? "answer_too_large" : "answer_no_room");
      return;
    }
    if (failure != null) {
      exchange.abandon("the response was incomplete");
      onBroken();
      fail(true, "cut_answer");
      return;
    }
    if (signals.notExecuted()) {
      body.release();
      detectReplacement(signals);
      outcome = AttemptOutcome.FAILED;
      if (ended.compareAndSet(false, true)) {
        listener.onNotExecuted(this, response.status());
      }
      return;
    }
    services.crashDetector().onAlive(slot.target().id(), sentMs);
    boolean failed = response.status() >= FIRST_ERROR_STATUS;
    outcome = failed ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    if (!failed) {
      services.quarantine().onAnswer(call.identity());
    }
    slotRequest.setResponseBytes(body.length());
    if (ended.compareAndSet(false, true)) {
      listener.onResponse(this, response.status(), response.headers(), body);
    } else {
      body.release();
    }
  }

  /** Marks the target as ended if another target responded at its address. */
  private void detectReplacement(TargetSignals signals) {
    if (signals.isFromOtherThan(slot.target().id().name())) {
      services.dispatcher().onReplaced(slot.target().id());
      services.crashDetector().onEnded(slot.target().id());
    }
  }

  @Override
  public void onFailure(boolean handedOver, Throwable cause) {
    if (handedOver) {
      services.reach().onDoubt(slot.target().id());
      onBroken();
    } else {
      services.reach().onNotSent(slot.target().id(), cause);
      if (cause instanceof ConnectException) {
        services.crashDetector().onRefused(slot.target().id());
      }
    }
    fail(handedOver, cause.getClass().getSimpleName());
  }

  /** Reports a broken connection, since the target may have crashed because of this request. */
  private void onBroken() {
    if (ended.get()) {
      return;
    }
    long nowMs = services.clock().nowMs();
    services
        .crashDetector()
        .onBroken(
            new BrokenAttempt(call.attemptId(), call.identity(), slot.target().id(), sentMs, nowMs),
            slot.target());
  }

  private void fail(boolean mayHaveRun, String reason) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (obstacle.isPresent()) {
      listener.onStopped(this, obstacle.get());
    } else {
      outcome = AttemptOutcome.NO_ANSWER;
      listener.onFailure(this, mayHaveRun, reason);
    }
  }

  /** Counts the abandoned attempt as unanswered, since the target did not respond in time. */
  void onTimedOut() {
    if (obstacle.isEmpty()) {
      outcome = AttemptOutcome.NO_ANSWER;
    }
  }

  private void recordPace(long tookMs) {
    FleetTarget target = slot.target();
    if (outcome != AttemptOutcome.NO_ANSWER || services.reach().isUsable(target)) {
      services.paces().onOutcome(target, slotRequest.route().name(), outcome, tookMs);
    }
  }

  @Override
  public void onReleased() {
    if (released.compareAndSet(false, true)) {
      services.reach().onEnded(slot.target().id());
      long tookMs = services.clock().nowMs() - sentMs;
      if (call.key().isPresent() && outcome != AttemptOutcome.GIVEN_UP) {
        long workMs = occupancy.map(stated -> stated.serviceTimeMs(tookMs)).orElse(tookMs);
        services.keyLoad().add(call.service(), call.key().getAsInt(), workMs);
      }
      recordPace(tookMs);
      services.dispatcher().release(slot, slotRequest, outcome, tookMs);
    }
  }
}
