package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.DeputyChoice;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.wire.PeerChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways that follow this one, which holds the term.
 *
 * <p>Changes go to all of them as they happen. One that lacks what was sent to it before its last
 * hello has lost something on the way and gets everything again; what was sent since may still be
 * under way. All methods are for the control thread.
 */
final class Subscribers {

  /** After this many pauses between two hellos without one a gateway no longer counts. */
  private static final int SILENCE_TIMEOUT_HELLOS = 7;

  private final Map<String, Subscriber> byProcess = new HashMap<>();
  private List<String> deputies = List.of();
  private int peakCount;

  /**
   * Takes a hello. Sends what the sender lacks of what was decided in a term.
   *
   * @param sender where the hello came from; not null
   * @param hello what the sender knows; not null
   * @param term the term of this process
   * @param view what this process knows; not null
   * @param nowMs the time; milliseconds
   */
  void onHello(PeerChannel sender, FleetHello hello, long term, FleetView view, long nowMs) {
    Subscriber known = byProcess.get(hello.process());
    boolean fresh = known == null || !known.channel.equals(sender);
    Subscriber subscriber = fresh ? new Subscriber(sender, hello) : known;
    byProcess.put(hello.process(), subscriber);
    if (fresh) {
      chooseDeputies();
    }
    subscriber.heardMs = nowMs;
    peakCount = Math.max(peakCount, byProcess.size());
    boolean lacksTargets =
        fresh
            || hello.targetsTerm() != term
            || hello.targetsVersion() < subscriber.expectedTargetsVersion;
    if (lacksTargets && view.targets().term() == term) {
      sender.send(view.targets());
    }
    boolean lacksRoutes =
        fresh
            || hello.routesTerm() != term
            || hello.routesVersion() < subscriber.expectedRoutesVersion;
    if (lacksRoutes && view.routes().term() == term) {
      sender.send(view.routes());
    }
    subscriber.expectedTargetsVersion = view.targets().version();
    subscriber.expectedRoutesVersion = view.routes().version();
  }

  void sendToAll(FleetMessage message) {
    byProcess.values().forEach(subscriber -> subscriber.channel.send(message));
  }

  void removeSilent(long nowMs, long helloIntervalMs) {
    long timeoutMs = SILENCE_TIMEOUT_HELLOS * helloIntervalMs;
    if (byProcess.values().removeIf(subscriber -> nowMs - subscriber.heardMs > timeoutMs)) {
      chooseDeputies();
    }
  }

  /** Returns the peer addresses of those that follow the store beside this process. */
  List<String> deputies() {
    return deputies;
  }

  private void chooseDeputies() {
    List<DeputyChoice.Candidate> candidates = new ArrayList<>();
    byProcess.values().forEach(subscriber -> candidates.add(subscriber.candidate));
    deputies = DeputyChoice.choose(candidates);
  }

  /** Tells whether at least half of all that ever followed have said hello since a time. */
  boolean majorityHeardSince(long atMs) {
    long heard = byProcess.values().stream().filter(known -> known.heardMs >= atMs).count();
    return 2 * heard >= peakCount;
  }

  int count() {
    return byProcess.size();
  }

  void clear() {
    byProcess.clear();
    peakCount = 0;
    deputies = List.of();
  }

  /** A gateway that said hello. */
  private static final class Subscriber {

    private final PeerChannel channel;
    private final DeputyChoice.Candidate candidate;
    private long heardMs;
    private long expectedTargetsVersion;
    private long expectedRoutesVersion;

    Subscriber(PeerChannel channel, FleetHello hello) {
      this.channel = channel;
      this.candidate =
          new DeputyChoice.Candidate(
              channel.peerAddress(), new DataCentreId(hello.dataCentre()), hello.processorCores());
    }
  }
}
