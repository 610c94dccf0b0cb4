package io.cuminvalve.router.target;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.router.request.Timers;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * The small requests that a router makes to targets of its own accord: probes and cancellations.
 *
 * @since 0.1
 */
public final class TargetOrders implements TargetCanceller {

  private static final String HEALTH_PATH = "/cuminvalve/health";
  private static final String CANCELLATIONS_PATH = "/cuminvalve/cancellations";
  private static final String JSON = "application/json";

  private final TargetClient client;
  private final Timers timers;
  private final long timeoutMs;

  /**
   * Creates a sender of orders.
   *
   * @param client sends them; not null
   * @param timers ends those without an answer; not null
   * @param timeoutMs how long an answer may take; milliseconds
   */
  public TargetOrders(TargetClient client, Timers timers, long timeoutMs) {
    this.client = client;
    this.timers = timers;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Asks a target for its clock and incarnation, which end up in its record.
   *
   * @param target the target; not null
   * @param onDone called once, when it answered or will not; not null
   */
  public void probe(TargetRecord target, Runnable onDone) {
    send(target, "GET", HEALTH_PATH, null, onDone);
  }

  @Override
  public void cancel(TargetRecord target, RequestId id, Runnable onDone) {
    // Identifiers consist of letters, digits and a few signs that JSON need not escape.
    String body = "{\"requestId\":\"" + id.value() + "\"}";
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    send(target, "POST", CANCELLATIONS_PATH, new BytesRequestContent(JSON, bytes), onDone);
  }

  private void send(
      TargetRecord target, String method, String path, Request.Content body, Runnable onDone) {
    TargetRequest request =
        new TargetRequest(target.address(), method, path, HttpFields.EMPTY, body);
    Order order = new Order(target, onDone);
    TargetExchange exchange = client.prepare(request, order);
    order.timeout = timers.schedule(() -> exchange.abandon("no answer in time"), timeoutMs);
    exchange.start();
  }

  /** One order in progress. */
  private static final class Order implements TargetListener {

    private final TargetRecord target;
    private final Runnable onDone;
    private final AtomicBoolean sent = new AtomicBoolean();
    private volatile Timers.Cancellable timeout = () -> {};
    private volatile long sentAtMs;

    Order(TargetRecord target, Runnable onDone) {
      this.target = target;
      this.onDone = onDone;
    }

    @Override
    public boolean onConnection(HttpFields.Mutable headers) {
      sentAtMs = target.onSent();
      sent.set(true);
      return true;
    }

    @Override
    public void onAnswer(TargetAnswer answer) {
      target.onAnswer(answer.headers(), sentAtMs);
      Content.Source.consumeAll(answer.body(), Callback.NOOP);
    }

    @Override
    public void onFailure(boolean handedOver, Throwable cause) {
      if (cause instanceof ConnectException) {
        target.onConnectionRefused();
      }
    }

    @Override
    public void onReleased() {
      timeout.cancel();
      if (sent.get()) {
        target.onReleased();
      }
      onDone.run();
    }
  }
}
