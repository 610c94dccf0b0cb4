package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.send.SendFacts;
import io.cuminvalve.core.send.SendKind;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.target.TargetAnswer;
import io.cuminvalve.router.target.TargetExchange;
import io.cuminvalve.router.target.TargetListener;
import io.cuminvalve.router.target.TargetRequest;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;

/**
 * One attempt to have a target run a request.
 *
 * <p>An answer counts only if it is whole and carries the id of this attempt: a target may answer
 * twice, or late, or send bytes that belong to no request. Whatever is odd closes the connection.
 */
final class TargetAttempt implements TargetListener {

  /** How an attempt ended. */
  interface Listener {

    /** The target answered, whole, and the request ran. */
    void onAnswer(TargetAttempt attempt, int status, HttpFields headers, byte[] body);

    /** The target proves that it did not run the request and never will. */
    void onNotExecuted(TargetAttempt attempt, int status);

    /** Not a byte was sent, and none will be: something forbade it at the last moment. */
    void onStopped(TargetAttempt attempt, SendObstacle obstacle);

    /** No usable answer. */
    void onFailure(TargetAttempt attempt, boolean mayHaveRun, String reason);
  }

  /** Answers are kept whole before they are passed on; larger ones are cut off. */
  private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

  private static final int FIRST_ERROR_STATUS = 500;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final SlotRequest wish;
  private final Slot slot;
  private final int runsBefore;
  private final Listener listener;
  private final TargetExchange exchange;
  private final Handover handover = new Handover();
  private final AtomicBoolean released = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile AttemptOutcome end = AttemptOutcome.GIVEN_UP;
  private volatile long sentMs;

  /** What forbade it to send the first byte. */
  private volatile Optional<SendObstacle> obstacle = Optional.empty();

  TargetAttempt(
      ExchangeServices services,
      CallerRequest call,
      SlotRequest wish,
      Slot slot,
      int runsBefore,
      Listener listener) {
    this.services = services;
    this.call = call;
    this.wish = wish;
    this.slot = slot;
    this.runsBefore = runsBefore;
    this.listener = listener;
    this.sentMs = services.clock().nowMs();
    this.exchange = services.client().prepare(targetRequest(), this);
  }

  private TargetRequest targetRequest() {
    String address = slot.target().address();
    int colon = address.lastIndexOf(':');
    InetSocketAddress socketAddress =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    HttpFields.Mutable headers = HttpFields.build(call.headers());
    headers.put(services.headers().targetId(), slot.target().id().name());
    return new TargetRequest(
        socketAddress,
        call.request().getMethod(),
        call.request().getHttpURI().getPathQuery(),
        headers,
        content());
  }

  private Request.Content content() {
    boolean declared =
        call.request().getHeaders().contains(HttpHeader.CONTENT_LENGTH)
            || call.request().getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (!declared) {
      return null;
    }
    return new BytesRequestContent(
        call.request().getHeaders().get(HttpHeader.CONTENT_TYPE), call.body());
  }

  FleetTarget target() {
    return slot.target();
  }

  void start() {
    exchange.start();
  }

  /** Ends the attempt and closes its connection, so that the target stops working on it. */
  void abandon(String reason) {
    ended.set(true);
    exchange.abandon(reason);
  }

  /** Makes sure that the target never gets the request. Tells whether that still was possible. */
  boolean preventHandover() {
    return handover.prevent();
  }

  @Override
  public boolean onConnection(HttpFields.Mutable headers) {
    sentMs = services.clock().nowMs();
    SendFacts facts = new RequestFacts(services, call, slot, runsBefore, () -> !ended.get());
    obstacle = services.gate().check(SendKind.REQUEST, facts);
    if (obstacle.isPresent()) {
      return false;
    }
    UpperTime now = services.clock().upper();
    headers.put(services.headers().deadlineMs(), Math.max(1, call.deadline().sinceMs(now)));
    boolean begins = handover.begin();
    if (begins) {
      services.metrics().onSent(sentMs - call.arrivedMs());
    }
    return begins;
  }

  @Override
  public void onAnswer(TargetAnswer answer) {
    TargetSignals signals = services.signals().read(answer);
    if (!isOurs(signals) || answer.headers().contains(HttpHeader.CONTENT_ENCODING)) {
      exchange.abandon("the answer belongs to another request");
      fail(true, "foreign_answer");
      return;
    }
    if (!signals.isFromOtherThan(slot.target().id().name())) {
      services.signals().onAnswer(slot.target(), signals, sentMs);
    }
    Content.Source.asByteArrayAsync(answer.body(), MAX_ANSWER_BYTES)
        .whenComplete((body, cut) -> onWhole(answer, signals, body, cut));
  }

  private boolean isOurs(TargetSignals signals) {
    return signals.attemptId().map(call.attemptId()::equals).orElse(signals.notExecuted());
  }

  private void onWhole(TargetAnswer answer, TargetSignals signals, byte[] body, Throwable cut) {
    if (cut != null) {
      exchange.abandon("the answer was cut");
      onBroken();
      fail(true, "cut_answer");
      return;
    }
    if (signals.notExecuted()) {
      noteOtherTarget(signals);
      end = AttemptOutcome.FAILED;
      if (ended.compareAndSet(false, true)) {
        listener.onNotExecuted(this, answer.status());
      }
      return;
    }
    services.witness().onAlive(slot.target().id(), sentMs);
    boolean failed = answer.status() >= FIRST_ERROR_STATUS;
    end = failed ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    if (!failed) {
      services.quarantine().onAnswer(call.identity());
    }
    wish.answered(body.length);
    if (ended.compareAndSet(false, true)) {
      listener.onAnswer(this, answer.status(), answer.headers(), body);
    }
  }

  /** Its address may belong to another target by now: then nothing more may go there. */
  private void noteOtherTarget(TargetSignals signals) {
    if (signals.isFromOtherThan(slot.target().id().name())) {
      services.dispatcher().onReplaced(slot.target().id());
      services.witness().onEnded(slot.target().id());
    }
  }

  @Override
  public void onFailure(boolean handedOver, Throwable cause) {
    if (handedOver) {
      onBroken();
    } else if (cause instanceof ConnectException) {
      services.witness().onEnded(slot.target().id());
    }
    fail(handedOver, cause.getClass().getSimpleName());
  }

  /** The target may have ended while it ran the request, perhaps because of it. */
  private void onBroken() {
    if (ended.get()) {
      return;
    }
    long nowMs = services.clock().nowMs();
    services
        .witness()
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
      end = AttemptOutcome.NO_ANSWER;
      listener.onFailure(this, mayHaveRun, reason);
    }
  }

  /** Counts an attempt that was given up because the target did not answer in time. */
  void onTooLate() {
    if (obstacle.isEmpty()) {
      end = AttemptOutcome.NO_ANSWER;
    }
  }

  @Override
  public void onReleased() {
    if (released.compareAndSet(false, true)) {
      long tookMs = services.clock().nowMs() - sentMs;
      if (call.key().isPresent() && end != AttemptOutcome.GIVEN_UP) {
        services.keyWork().add(call.service(), call.key().getAsInt(), tookMs);
      }
      services.dispatcher().giveBack(slot, wish, end, tookMs);
    }
  }
}
