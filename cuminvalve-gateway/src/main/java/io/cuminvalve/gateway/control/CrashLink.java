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
 * Connects the {@link CrashCoordinator} of this gateway with its traffic, the other gateways and
 * the store. Confined to the control thread.
 */
final class CrashLink extends PeerMessenger implements CrashCoordinator.Peers {

  private final ControlThread control;
  private final TrafficReports reports;
  private final CrashCoordinator coordinator;
  private final QuarantineStore quarantineStore;
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
      CrashTracker crashTracker) {
    super(network, subscribers);
    this.control = control;
    this.reports = reports;
    this.coordinator = new CrashCoordinator(crashTracker, reports.quarantine(), this, clock, log);
    this.quarantineStore = new QuarantineStore(store, control, log, codec, coordinator::onStored);
  }

  void start() {
    reports.onCrash(attempts -> control.execute(() -> coordinator.onCrashed(attempts)));
    reports
        .quarantine()
        .onAnswered(fingerprint -> control.execute(() -> coordinator.onAnswered(fingerprint)));
    reports
        .quarantine()
        .onTrialWanted(
            fingerprint -> control.execute(() -> coordinator.onTrialWanted(fingerprint)));
  }

  /** Called when this gateway has acquired the term. */
  void onGained() {
    holder = true;
    quarantineStore.open();
  }

  /** Called when this gateway no longer holds the term. */
  void onLost() {
    holder = false;
    quarantineStore.close();
  }

  /** Returns the digest of known crashes for the hellos of this gateway. */
  long digest() {
    return coordinator.digest();
  }

  void onHello(PeerChannel sender, FleetHello hello) {
    coordinator.onDigest(hello.crashDigest(), sender::send);
  }

  /** Processes a message if it concerns requests that crash targets. */
  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof CrashUpdate update) {
      coordinator.onUpdate(update, sender::send);
    } else if (message instanceof TrialRequest request) {
      coordinator.onTrialRequest(request.fingerprint(), sender::send);
    } else if (message instanceof TrialPermit permit) {
      coordinator.onTrialPermit(permit.fingerprint());
    }
  }

  /** Sets the addresses of the holder, empty if it is this gateway, and of its deputies. */
  void onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    coordinator.onHolderAndDeputies(holderAddress, deputies);
  }

  @Override
  public boolean isHolder() {
    return holder;
  }

  @Override
  public void persist(CrashUpdate quarantined) {
    quarantineStore.persist(quarantined);
  }
}
