package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeEffect;
import io.cuminvalve.core.exchange.ExchangeStateMachine;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.core.stop.StopPolicy;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/** Forwards one request to peers, one after the other, as its state machine decides. */
final class PeerForwarding implements PeerAttempt.Listener {

  /** The request that is forwarded. */
  interface Exchange {

    /** Lets the state machine decide on an event, and executes the effects. */
    void decide(Supplier<List<ExchangeEffect>> event);

    /** Like {@link #decide}, on a response of a target, whose body this releases in the end. */
    void decideOn(PeerAnswer answer, Supplier<List<ExchangeEffect>> event);
  }

  /** Retry delay after a peer that could not be reached or named none. */
  private static final long RETRY_AFTER_MS = 250;

  private final ExchangeServices services;
  private final CallerRequest call;
  private final ExchangeStateMachine machine;
  private final Exchange exchange;
  private final Set<String> tried = new HashSet<>();
  private volatile PeerAttempt attempt;

  PeerForwarding(
      ExchangeServices services,
      CallerRequest call,
      ExchangeStateMachine machine,
      Exchange exchange) {
    this.services = services;
    this.call = call;
    this.machine = machine;
    this.exchange = exchange;
  }

  /**
   * Returns whether a peer is left for the request; none is if a peer sent it here. A stopping
   * process forwards no request that leaves the peer too little time.
   */
  boolean isPossible() {
    return call.relayed().isEmpty()
        && services.relay().knowsOtherThan(tried)
        && services.stop().treat(call.deadline(), call.route().targetLatencyMs(), true)
            != StopPolicy.Treatment.REFUSE;
  }

  /** Returns whether the request has been forwarded. */
  boolean hasBegun() {
    return attempt != null;
  }

  /**
   * Starts the next attempt. It is published under the monitor of the exchange before it starts, so
   * that whoever ends the request can abandon it; if the request has ended already, the attempt
   * never starts.
   */
  void forward() {
    Optional<PeerAttempt> next;
    boolean begins;
    synchronized (exchange) {
      next = services.relay().prepare(services, call, machine, tried, this);
      begins = !machine.isDone();
      if (begins && next.isPresent()) {
        attempt = next.get();
        tried.add(attempt.peer().address());
      }
    }
    if (begins && next.isPresent()) {
      next.get().start();
    } else if (begins) {
      exchange.decide(() -> machine.onPeerRefusal(0, RETRY_AFTER_MS, false, nowMs()));
    }
  }

  /** Prevents the request from being sent. Returns false if sending may have begun. */
  boolean preventHandover() {
    return attempt.preventHandover();
  }

  /** Abandons the current attempt, if there is one. */
  void abandon(String reason) {
    PeerAttempt current = attempt;
    if (current != null) {
      current.abandon(reason);
      record(current, "abandoned", reason);
    }
  }

  @Override
  public void onAnswer(PeerAttempt from, PeerAnswer answer) {
    record(from, answer.outcome().label(), "status_" + answer.status());
    int runs = answer.runs();
    if (answer.outcome() != RelayOutcome.SERVED) {
      answer.body().release();
    }
    switch (answer.outcome()) {
      case SERVED ->
          exchange.decideOn(
              answer, () -> machine.onPeerAnswer(answer.status(), runs, isPossible(), nowMs()));
      case FAILED ->
          exchange.decide(() -> machine.onPeerFailure(runs, "peer_failed", isPossible(), nowMs()));
      case UNUSABLE -> {
        services.relay().onUseless(from.peer());
        onRefusal(answer);
      }
      default -> onRefusal(answer);
    }
  }

  private void onRefusal(PeerAnswer answer) {
    long retryAfterMs = answer.retryAfterMs().orElse(RETRY_AFTER_MS);
    exchange.decide(
        () -> machine.onPeerRefusal(answer.refusals(), retryAfterMs, isPossible(), nowMs()));
  }

  @Override
  public void onStopped(PeerAttempt from, SendCondition condition) {
    record(from, "stopped", condition.name());
    if (condition == SendCondition.CALLER_PRESENT) {
      exchange.decide(machine::onCallerGone);
    } else {
      exchange.decide(() -> machine.onDeadline(false));
    }
  }

  @Override
  public void onFailure(PeerAttempt from, boolean mayHaveRun, String reason) {
    services.relay().onUseless(from.peer());
    record(from, mayHaveRun ? "broken" : "unreachable", reason);
    if (mayHaveRun) {
      exchange.decide(() -> machine.onPeerFailure(0, "peer_broken", isPossible(), nowMs()));
    } else {
      exchange.decide(() -> machine.onPeerRefusal(0, RETRY_AFTER_MS, isPossible(), nowMs()));
    }
  }

  /** Adds to the response of a request that a peer forwarded what became of it here. */
  void addCounts() {
    if (call.relayed().isPresent()) {
      HttpFields.Mutable headers = call.response().getHeaders();
      headers.put(RelayHeaders.RUNS, machine.runs());
      headers.put(RelayHeaders.REFUSALS, machine.refusals());
    }
  }

  private void record(PeerAttempt ended, String outcome, String why) {
    services.metrics().onForwarded(outcome);
    services
        .log()
        .write(
            "request_forwarded",
            "id={} service={} key={} peer={} outcome={} runs={} age_ms={} why={}",
            call.attemptId(),
            call.service(),
            call.key().isPresent() ? call.key().getAsInt() : "-",
            ended.peer().address(),
            outcome,
            machine.runs(),
            nowMs() - call.arrivedMs(),
            why);
  }

  private long nowMs() {
    return services.clock().nowMs();
  }
}
