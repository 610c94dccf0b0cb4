package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.TrialPermit;
import io.cuminvalve.core.protocol.TrialRequest;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.TrafficReports;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import io.cuminvalve.wire.RecordCodec;
import java.util.Collection;
import java.util.Optional;

/**
 * Connects the {@link CrashDesk} of this gateway with its traffic, the other gateways and the
 * store. For the control thread.
 */
final class CrashLink extends PeerAudience implements CrashDesk.Audience {

  private final ControlThread control;
  private final TrafficReports reports;
  private final CrashDesk desk;
  private final CrashArchive archive;
  private boolean holder;

  CrashLink(
      PeerNetwork network,
      Subscribers subscribers,
      KeyValueStore store,
      RecordCodec codec,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      TrafficReports reports,
      CrashTracker ledger) {
    super(network, subscribers);
    this.control = control;
    this.reports = reports;
    this.desk = new CrashDesk(ledger, reports.quarantine(), this, clock, log);
    this.archive = new CrashArchive(store, control, log, codec, desk::onStored);
  }

  void start() {
    reports.onCrash(attempts -> control.execute(() -> desk.onCrashed(attempts)));
    reports
        .quarantine()
        .onAnswered(fingerprint -> control.execute(() -> desk.onAnswered(fingerprint)));
    reports
        .quarantine()
        .onTrialWanted(fingerprint -> control.execute(() -> desk.onTrialWanted(fingerprint)));
  }

  /** This gateway holds the term now. */
  void onGained() {
    holder = true;
    archive.open();
  }

  /** This gateway holds the term no longer. */
  void onLost() {
    holder = false;
    archive.close();
  }

  /** Returns what this gateway knows, in short, for its hellos. */
  long digest() {
    return desk.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    desk.onDigest(hello.crashDigest(), sender::send);
  }

  /** Takes a message, if it is about requests under which targets end. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof CrashUpdate news) {
      desk.onNews(news, sender::send);
    } else if (message instanceof TrialRequest request) {
      desk.onTrialRequest(request.fingerprint(), sender::send);
    } else if (message instanceof TrialPermit permit) {
      desk.onTrialPermit(permit.fingerprint());
    }
  }

  /** The holder, unless it is this gateway, and its deputies are these. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputies) {
    desk.onConfidants(holderAddress, deputies);
  }

  @Override
  public boolean isHolder() {
    return holder;
  }

  @Override
  public void keep(CrashUpdate quarantined) {
    archive.keep(quarantined);
  }
}
