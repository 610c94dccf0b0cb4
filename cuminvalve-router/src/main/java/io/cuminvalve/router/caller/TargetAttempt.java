package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.ports.target.AttemptIdHeader;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.target.TargetAnswer;
import io.cuminvalve.router.target.TargetExchange;
import io.cuminvalve.router.target.TargetHeaders;
import io.cuminvalve.router.target.TargetListener;
import io.cuminvalve.router.target.TargetRecord;
import io.cuminvalve.router.target.TargetRequest;
import java.net.ConnectException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/** One attempt of a request at its target, and what it teaches about the target. */
final class TargetAttempt implements TargetListener {

  /** Hears how an attempt goes. */
  interface Events {

    /** Asks for leave to hand the first byte over. */
    boolean mayHandOver();

    /** No byte was handed over. */
    void onNotSent(Throwable cause);

    /** The target refused before running the request. */
    void onRefused(TargetRefusal refusal);

    /** The head of the answer was read. */
    void onAnswerHead();

    /** Bytes were handed over, and no whole answer will come. */
    void onCut(Throwable cause);
  }

  private final ExchangeServices services;
  private final RequestContext context;
  private final String attemptId;
  private final Slot slot;
  private final RequestBody body;
  private final Events events;
  private final Closing closing = new Closing();
  private volatile TargetExchange exchange;
  private volatile TargetAnswer answer;
  private volatile boolean sent;
  private volatile boolean cancelled;
  private volatile long sentAtMs;

  TargetAttempt(
      ExchangeServices services,
      RequestContext context,
      int number,
      Slot slot,
      RequestBody body,
      Events events) {
    this.services = services;
    this.context = context;
    this.attemptId = context.id().value() + "." + number;
    this.slot = slot;
    this.body = body;
    this.events = events;
  }

  void start(String method, String pathAndQuery, HttpFields headers) {
    TargetRecord target = slot.target();
    TargetRequest request =
        new TargetRequest(target.address(), method, pathAndQuery, headers, body.forAttempt());
    exchange = services.client().prepare(request, this);
    exchange.start();
  }

  /** Returns the answer whose head was read. */
  TargetAnswer answer() {
    return answer;
  }

  Slot slot() {
    return slot;
  }

  /**
   * Gives the attempt up: closes its connection and tells the target.
   *
   * @param onClosed called once, when nothing of it is in flight as far as this router can tell
   */
  void cancel(Runnable onClosed) {
    cancelled = true;
    closing.begin(onClosed);
    RequestId id = context.id();
    exchange.abandon("given up");
    if (exchange.isHandedOver()) {
      services.canceller().cancel(slot.target(), id, closing::onTargetTold);
    } else {
      closing.onTargetTold();
    }
  }

  @Override
  public boolean onConnection(HttpFields.Mutable headers) {
    long remainingMs = context.deadlineMs() - services.clock().nowMs();
    if (remainingMs <= 0 || !services.grants().issue(slot, headers)) {
      return false;
    }
    headers.put(TargetHeaders.REQUEST_ID, context.id().value());
    headers.put(AttemptIdHeader.NAME, attemptId);
    headers.put(TargetHeaders.TIMEOUT_MS, remainingMs);
    if (!events.mayHandOver()) {
      return false;
    }
    sent = true;
    sentAtMs = slot.target().onSent();
    return true;
  }

  @Override
  public void onAnswer(TargetAnswer received) {
    if (!AttemptIdHeader.allows(received.headers(), attemptId)) {
      exchange.abandon("the response belongs to another attempt");
      if (!cancelled) {
        events.onCut(new ForeignAnswerException());
      }
      return;
    }
    slot.target().onAnswer(received.headers(), sentAtMs);
    TargetRefusal refusal = TargetRefusal.ofHeader(received.headers().get(TargetHeaders.REFUSAL));
    answer = received;
    if (refusal == null) {
      events.onAnswerHead();
      return;
    }
    readToTheEnd(received);
    events.onRefused(refusal);
  }

  @Override
  public void onFailure(boolean handedOver, Throwable cause) {
    if (cause instanceof ConnectException) {
      slot.target().onConnectionRefused();
    }
    if (cancelled) {
      return;
    }
    if (handedOver) {
      events.onCut(cause);
    } else {
      events.onNotSent(cause);
    }
  }

  @Override
  public void onReleased() {
    if (sent) {
      slot.target().onReleased();
    }
    closing.onConnectionReleased();
  }

  /** Frees the connection of a refusal for reuse, unless the target may still wait for the body. */
  private void readToTheEnd(TargetAnswer refused) {
    if (body.isWhollyRead()) {
      Content.Source.consumeAll(refused.body(), Callback.NOOP);
    } else {
      exchange.abandon("refused before the body ended");
    }
  }

  /** Waits for the connection and for the target before an attempt counts as closed. */
  private static final class Closing {

    private Runnable onClosed;
    private boolean released;
    private boolean told;

    void begin(Runnable callback) {
      synchronized (this) {
        onClosed = callback;
      }
    }

    void onConnectionReleased() {
      synchronized (this) {
        released = true;
      }
      closeOnce();
    }

    void onTargetTold() {
      synchronized (this) {
        told = true;
      }
      closeOnce();
    }

    private void closeOnce() {
      Runnable callback;
      synchronized (this) {
        if (onClosed == null || !released || !told) {
          return;
        }
        callback = onClosed;
        onClosed = null;
      }
      callback.run();
    }
  }
}
