package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.DeputySelector;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.core.reach.RelaySelector;
import io.cuminvalve.wire.PeerChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways that follow this one while it holds the term.
 *
 * <p>Changes are sent to all of them as they happen. A gateway whose hello shows that it lacks
 * something sent before its previous hello has lost a message and is sent the full state again;
 * what was sent since then may still be in transit. All methods run on the control thread.
 */
final class Subscribers {

  /** Number of hello intervals without a hello after which a gateway is no longer counted. */
  private static final int SILENCE_TIMEOUT_HELLOS = 7;

  private final Map<String, Subscriber> byProcess = new HashMap<>();
  private List<String> deputies = List.of();
  private int peakCount;

  /**
   * Handles a hello and sends the state of the given term that the sender lacks.
   *
   * @param sender channel on which the hello arrived; not null
   * @param hello versions that the sender has; not null
   * @param term the term of this process
   * @param view state published by this process; not null
   * @param nowMs the current time; milliseconds
   */
  void onHello(PeerChannel sender, FleetHello hello, long term, FleetView view, long nowMs) {
    Subscriber known = byProcess.get(hello.process());
    boolean isNew = known == null || !known.channel.equals(sender);
    Subscriber subscriber = isNew ? new Subscriber(sender, hello) : known;
    byProcess.put(hello.process(), subscriber);
    if (isNew) {
      chooseDeputies();
    }
    subscriber.lastHelloMs = nowMs;
    subscriber.relay = relayOf(hello);
    peakCount = Math.max(peakCount, byProcess.size());
    boolean lacksTargets =
        isNew
            || hello.targetsTerm() != term
            || hello.targetsVersion() < subscriber.expectedTargetsVersion;
    if (lacksTargets && view.targets().term() == term) {
      sender.send(view.withCurrentColdTimes(view.targets()));
    }
    boolean lacksRoutes =
        isNew
            || hello.routesTerm() != term
            || hello.routesVersion() < subscriber.expectedRoutesVersion;
    if (lacksRoutes && view.routes().term() == term) {
      sender.send(view.routes());
    }
    subscriber.expectedTargetsVersion = view.targets().version();
    subscriber.expectedRoutesVersion = view.routes().version();
  }

  private static RelaySelector.Candidate relayOf(FleetHello hello) {
    return new RelaySelector.Candidate(
        new RelayPeer(hello.relayAddress(), new DataCentreId(hello.dataCentre())),
        new ReachShare(hello.reachableTargets(), hello.unreachableTargets()));
  }

  /** Returns what the gateways that have sent a hello since a time have told of their reach. */
  List<RelaySelector.Candidate> relaysSince(long sinceMs) {
    return byProcess.values().stream()
        .filter(known -> known.lastHelloMs >= sinceMs)
        .map(known -> known.relay)
        .toList();
  }

  void sendToAll(FleetMessage message) {
    byProcess.values().forEach(subscriber -> subscriber.channel.send(message));
  }

  void removeSilent(long nowMs, long helloIntervalMs) {
    long timeoutMs = SILENCE_TIMEOUT_HELLOS * helloIntervalMs;
    if (byProcess.values().removeIf(subscriber -> nowMs - subscriber.lastHelloMs > timeoutMs)) {
      chooseDeputies();
    }
  }

  /**
   * Returns the peer addresses of the deputies, the gateways that follow the store in addition to
   * this process.
   */
  List<String> deputies() {
    return deputies;
  }

  private void chooseDeputies() {
    List<DeputySelector.Candidate> candidates = new ArrayList<>();
    byProcess.values().forEach(subscriber -> candidates.add(subscriber.candidate));
    deputies = DeputySelector.choose(candidates);
  }

  /**
   * Returns whether at least half of the highest number of followers so far have sent a hello since
   * a time.
   */
  boolean majorityHeardSince(long sinceMs) {
    long recentCount =
        byProcess.values().stream().filter(known -> known.lastHelloMs >= sinceMs).count();
    return 2 * recentCount >= peakCount;
  }

  int count() {
    return byProcess.size();
  }

  void clear() {
    byProcess.clear();
    peakCount = 0;
    deputies = List.of();
  }

  /** A gateway that has sent a hello, with the versions that its next hello should have reached. */
  private static final class Subscriber {

    private final PeerChannel channel;
    private final DeputySelector.Candidate candidate;
    private RelaySelector.Candidate relay;
    private long lastHelloMs;
    private long expectedTargetsVersion;
    private long expectedRoutesVersion;

    Subscriber(PeerChannel channel, FleetHello hello) {
      this.channel = channel;
      this.candidate =
          new DeputySelector.Candidate(
              channel.peerAddress(), new DataCentreId(hello.dataCentre()), hello.processorCores());
      this.relay = relayOf(hello);
    }
  }
}
