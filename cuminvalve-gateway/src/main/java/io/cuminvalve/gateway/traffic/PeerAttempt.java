package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.target.TargetAnswer;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetExchange;
import io.cuminvalve.router.target.TargetListener;
import io.cuminvalve.router.target.TargetRequest;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * One attempt to have a peer send a request, and to receive its answer.
 *
 * <p>An answer counts only if it is complete and repeats the id of this attempt, which no other
 * attempt has. Whatever else comes closes the connection and proves nothing.
 */
final class PeerAttempt implements TargetListener {

  /** Receives the result of an attempt. */
  interface Listener {

    /** The peer answered completely. */
    void onAnswer(PeerAttempt attempt, PeerAnswer answer);

    /** A condition failed before the first byte: nothing was sent, and nothing will be. */
    void onStopped(PeerAttempt attempt, SendCondition condition);

    /** There was no usable answer. */
    void onFailure(PeerAttempt attempt, boolean mayHaveRun, String reason);
  }

  private final ExchangeServices services;
  private final CallerRequest call;
  private final RelayPeer peer;
  private final String id;
  private final Listener listener;
  private final TargetExchange exchange;
  private final Handover handover = new Handover();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile Optional<SendCondition> obstacle = Optional.empty();

  /**
   * Creates an attempt that is not started.
   *
   * @param services the services that hold the state; not null
   * @param client the HTTP client for peers; not null
   * @param call the request; not null
   * @param peer the peer; not null
   * @param id identifies the attempt; not null
   * @param request what to send; not null
   * @param listener receives the result; not null
   */
  PeerAttempt(
      ExchangeServices services,
      TargetClient client,
      CallerRequest call,
      RelayPeer peer,
      String id,
      TargetRequest request,
      Listener listener) {
    this.services = services;
    this.call = call;
    this.peer = peer;
    this.id = id;
    this.listener = listener;
    this.exchange = client.prepare(request, this);
  }

  RelayPeer peer() {
    return peer;
  }

  void start() {
    exchange.start();
  }

  /** Ends the attempt and closes its connection, by which the peer learns of it. */
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
    UpperTime now = services.clock().upper();
    long leftMs = call.deadline().sinceMs(now);
    if (services.stop().workEnd(call.workEnd()).sinceMs(now) <= 0) {
      obstacle = Optional.of(SendCondition.TIME_LEFT);
    } else if (!call.isCallerPresent()) {
      obstacle = Optional.of(SendCondition.CALLER_PRESENT);
    }
    if (obstacle.isPresent() || ended.get()) {
      return false;
    }
    headers.put(services.headers().deadlineMs(), leftMs);
    if (services.stop().isStopping()) {
      headers.put(RelayHeaders.WORK_MS, services.stop().workEnd(call.workEnd()).sinceMs(now));
    }
    headers.put(RelayHeaders.AGE_MS, Math.max(0, services.clock().nowMs() - call.arrivedMs()));
    return handover.begin();
  }

  @Override
  public void onAnswer(TargetAnswer answer) {
    Optional<RelayOutcome> outcome = RelayOutcome.of(answer.headers().get(RelayHeaders.OUTCOME));
    if (outcome.isEmpty() || !id.equals(answer.headers().get(RelayHeaders.ID))) {
      exchange.abandon("the answer belongs to another request");
      fail(true, "foreign_answer");
      return;
    }
    services
        .buffers()
        .readResponse(answer.body(), answer.headers().getLongField(HttpHeader.CONTENT_LENGTH))
        .whenComplete((body, failure) -> onBodyRead(outcome.get(), answer, body, failure));
  }

  private void onBodyRead(
      RelayOutcome outcome, TargetAnswer answer, BufferedBody body, Throwable failure) {
    if (failure instanceof BodyRefusedException refused) {
      exchange.abandon("the answer does not fit");
      fail(true, refused.isTooLarge() ? "answer_too_large" : "answer_no_room");
    } else if (failure != null) {
      exchange.abandon("the answer was incomplete");
      fail(true, "cut_answer");
    } else if (ended.compareAndSet(false, true)) {
      listener.onAnswer(this, new PeerAnswer(outcome, answer.status(), answer.headers(), body));
    } else {
      body.release();
    }
  }

  @Override
  public void onFailure(boolean handedOver, Throwable cause) {
    fail(handedOver, cause.getClass().getSimpleName());
  }

  private void fail(boolean mayHaveRun, String reason) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (obstacle.isPresent()) {
      listener.onStopped(this, obstacle.get());
    } else {
      listener.onFailure(this, mayHaveRun, reason);
    }
  }

  @Override
  public void onReleased() {}
}
