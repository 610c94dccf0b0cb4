package io.cuminvalve.core.replay;

import io.cuminvalve.core.admission.AdmissionCoordinator;
import io.cuminvalve.core.admission.AdmissionSettings;
import io.cuminvalve.core.admission.AdmissionSink;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.IntentCoordinator;
import io.cuminvalve.core.intent.IntentSettings;
import io.cuminvalve.core.intent.IntentSink;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.retry.RetryBudget;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A router of a trace: the desks of the request path and its requests.
 *
 * @since 0.1
 */
final class ReplayRouter implements AdmissionSink, IntentSink {

  private static final CellId CELL = new CellId("replay");
  private static final long STOP_RETRY_AFTER_MS = 250;

  private final BiConsumer<RouterId, PeerMessage> network;
  private final RetryBudget retries;
  private final AdmissionCoordinator admission;
  private final IntentCoordinator intents;
  private final Map<RequestId, ReplayRequest> requests = new LinkedHashMap<>();
  private final Map<Long, Ticket> tickets = new HashMap<>();
  private long lastPermit;
  private boolean lost;

  /**
   * An attempt that asked for a slot.
   *
   * @param request the request
   * @param attempt the number of the attempt
   */
  private record Ticket(ReplayRequest request, int attempt) {}

  ReplayRouter(
      RouterId id,
      Incarnation run,
      RetryBudget retries,
      BiConsumer<RouterId, PeerMessage> network) {
    this.network = network;
    this.retries = retries;
    this.admission = new AdmissionCoordinator(CELL, id, run, AdmissionSettings.DEFAULT, this);
    this.intents = new IntentCoordinator(CELL, id, run, IntentSettings.DEFAULT, this);
  }

  AdmissionCoordinator admission() {
    return admission;
  }

  IntentCoordinator intents() {
    return intents;
  }

  RetryBudget retries() {
    return retries;
  }

  boolean isLost() {
    return lost;
  }

  void take(RequestId id, ReplayRequest request) {
    requests.put(id, request);
    retries.onRequest();
    request.start();
  }

  long newPermit(ReplayRequest request, int attempt) {
    lastPermit++;
    tickets.put(lastPermit, new Ticket(request, attempt));
    return lastPermit;
  }

  void lose() {
    requests.values().forEach(ReplayRequest::onRouterLost);
    lost = true;
  }

  void stop() {
    requests.values().forEach(request -> request.onRouterStopping(STOP_RETRY_AFTER_MS));
    admission.close();
  }

  void tick(long nowMs) {
    if (!lost) {
      admission.tick(nowMs);
      intents.tick(nowMs);
    }
  }

  void receive(PeerMessage message, RouterId from, long nowMs) {
    if (!lost) {
      admission.onMessage(message, from, nowMs);
      intents.onMessage(message, from, nowMs);
    }
  }

  @Override
  public void granted(long permit) {
    Ticket ticket = tickets.get(permit);
    ticket.request().onAdmitted(ticket.attempt());
  }

  @Override
  public void granted(RequestId request) {
    requests.get(request).onIntentGranted();
  }

  @Override
  public void refused(long permit, RefusalReason reason, long retryAfterMs) {
    Ticket ticket = tickets.get(permit);
    ticket.request().onAdmissionRefused(ticket.attempt(), reason, retryAfterMs);
  }

  @Override
  public void refused(RequestId request, Verdict earlier, RefusalReason reason, long retryAfterMs) {
    requests.get(request).onIntentRefused(earlier, reason, retryAfterMs);
  }

  @Override
  public void send(RouterId to, PeerMessage message) {
    network.accept(to, message);
  }
}
