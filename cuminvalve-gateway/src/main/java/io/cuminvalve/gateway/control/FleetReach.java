package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.core.reach.RelaySelector;
import io.cuminvalve.core.reach.TermFitness;
import io.cuminvalve.gateway.traffic.TrafficReports;
import java.util.ArrayList;
import java.util.List;

/**
 * Which gateways reach the targets, as far as this one knows. All methods run on the control
 * thread.
 */
final class FleetReach {

  /** What a gateway told before its last few hellos may have changed. */
  private static final int FRESH_HELLOS = 3;

  private final Subscribers subscribers;
  private final TrafficReports reports;
  private final DataCentreId dataCentre;
  private final TermFitness fitness = new TermFitness();

  FleetReach(Subscribers subscribers, TrafficReports reports, DataCentreId dataCentre) {
    this.subscribers = subscribers;
    this.reports = reports;
    this.dataCentre = dataCentre;
  }

  /** Returns which share of the targets this gateway reaches. */
  ReachShare own() {
    return reports.reach().share();
  }

  String ownRelayAddress() {
    return reports.relayAddress();
  }

  /** Returns the gateways, this holder too, that may relay requests of the sender of a hello. */
  List<RelayPeer> relaysFor(FleetHello hello, long nowMs, long helloIntervalMs) {
    List<RelaySelector.Candidate> candidates = new ArrayList<>(told(nowMs, helloIntervalMs));
    candidates.add(
        new RelaySelector.Candidate(new RelayPeer(reports.relayAddress(), dataCentre), own()));
    return RelaySelector.choose(
        candidates, hello.relayAddress(), new DataCentreId(hello.dataCentre()));
  }

  /** Returns the gateways that may relay requests of this gateway, the holder. */
  List<RelayPeer> ownRelays(long nowMs, long helloIntervalMs) {
    return RelaySelector.choose(told(nowMs, helloIntervalMs), reports.relayAddress(), dataCentre);
  }

  /** Returns whether this gateway, the holder, should leave the term to one that reaches more. */
  boolean shouldYieldTerm(long nowMs, long helloIntervalMs) {
    List<ReachShare> others =
        told(nowMs, helloIntervalMs).stream().map(RelaySelector.Candidate::share).toList();
    return fitness.shouldYield(own(), others, nowMs);
  }

  private List<RelaySelector.Candidate> told(long nowMs, long helloIntervalMs) {
    return subscribers.relaysSince(nowMs - FRESH_HELLOS * helloIntervalMs);
  }
}
