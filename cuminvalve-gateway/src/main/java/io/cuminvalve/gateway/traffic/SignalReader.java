package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.AnswerDecoder;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.router.target.TargetAnswer;

/**
 * Reads the signals in the response headers of targets and dispatches them to their handlers.
 *
 * <p>Thread-safe.
 */
final class SignalReader {

  private final AnswerDecoder decoder;
  private final TargetQuotas quotas;
  private final TargetBackoffs backoffs;
  private final TargetDepartures departures;
  private final UnknownFields unknownFields;
  private final DecisionLog log;

  SignalReader(
      AnswerDecoder decoder,
      TargetQuotas quotas,
      TargetBackoffs backoffs,
      TargetDepartures departures,
      UnknownFields unknownFields,
      DecisionLog log) {
    this.decoder = decoder;
    this.quotas = quotas;
    this.backoffs = backoffs;
    this.departures = departures;
    this.unknownFields = unknownFields;
    this.log = log;
  }

  /** Decodes the signals in the headers of a response without acting on them. */
  TargetSignals read(TargetAnswer response) {
    return decoder.decode(response.status(), response.headers());
  }

  /**
   * Applies the signals of a target.
   *
   * @param responding the run of the target that responded; not null
   * @param signals its signals; not null
   * @param sentMs when the request was sent; a time of the clock in milliseconds
   */
  void onAnswer(FleetTarget responding, TargetSignals signals, long sentMs) {
    TargetId target = responding.id();
    unknownFields.onAnswer(signals.unknownFields(), target);
    for (TargetSignals.Kind kind : signals.unreadable()) {
      log.write("target_signal_unreadable", "target={} signal={}", target, kind);
    }
    if (!signals.unreadable().contains(TargetSignals.Kind.LIMIT)) {
      quotas.onAnswer(target, signals.limitPerS(), sentMs);
    }
    if (signals.leaving()) {
      departures.onLeaving(target);
    }
    signals.backoffMs().ifPresent(backoffMs -> backoffs.start(responding, backoffMs));
  }
}
