package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.AnswerDecoder;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.router.target.TargetAnswer;

/**
 * Reads what targets say in the heads of their answers, and hands it on to those whom it concerns.
 *
 * <p>Safe for use by several threads.
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

  /** Reads the head of an answer; nothing is done about it yet. */
  TargetSignals read(TargetAnswer answer) {
    return decoder.decode(answer.status(), answer.headers());
  }

  /**
   * Takes what a target says.
   *
   * @param answering the run that answered; not null
   * @param signals what it says; not null
   * @param sentMs when its request was sent; a time of the clock; milliseconds
   */
  void onAnswer(FleetTarget answering, TargetSignals signals, long sentMs) {
    TargetId target = answering.id();
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
    signals.backoffMs().ifPresent(backoffMs -> backoffs.start(answering, backoffMs));
  }
}
