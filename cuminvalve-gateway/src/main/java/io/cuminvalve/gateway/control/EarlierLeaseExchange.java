package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.HolderEnded;
import io.cuminvalve.core.protocol.LeasesLeft;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import java.util.Optional;

/**
 * Passes on, from holder to holder of the term, which leases may still be in force.
 *
 * <p>A new holder asks the one before it, and every gateway that follows it, until one knows; what
 * they tell may free keys many seconds earlier. The holder before stops at once, if it still runs.
 * All methods are for the control thread.
 */
final class EarlierLeaseExchange {

  private final PeerNetwork network;
  private final Subscribers subscribers;
  private final MillisClock clock;
  private final Runnable onTermReplaced;
  private final EarlierLeases earlierLeases = new EarlierLeases();
  private Optional<TermCoordinator> coordinator = Optional.empty();
  private Optional<String> formerHolder = Optional.empty();
  private boolean complete;

  EarlierLeaseExchange(
      PeerNetwork network, Subscribers subscribers, MillisClock clock, Runnable onTermReplaced) {
    this.network = network;
    this.subscribers = subscribers;
    this.clock = clock;
    this.onTermReplaced = onTermReplaced;
  }

  /** This process holds the term now. */
  void onGained(TermCoordinator gained, Optional<String> holderBefore) {
    coordinator = Optional.of(gained);
    formerHolder = holderBefore;
    EarlierLeases.Snapshot heard = earlierLeases.heard();
    complete = gained.onLeasesLeft(heard.left(), heard.takenMs());
    requestLeases();
  }

  /** This process holds the term no longer: whoever is next need not wait for more than this. */
  void onLost(TermCoordinator ended) {
    coordinator = Optional.empty();
    LeasesLeft left = new LeasesLeft(ended.term(), ended.leasesLeft());
    earlierLeases.onOwnTermEnded(left, clock.nowMs());
    subscribers.sendToAll(left);
  }

  /** Asks once more, as the holder, unless it is known already. */
  void requestLeases() {
    if (complete) {
      return;
    }
    HolderEnded request = new HolderEnded(coordinator.orElseThrow().term());
    formerHolder.ifPresent(address -> network.send(address, request));
    subscribers.sendToAll(request);
  }

  /** Another gateway tells what an ended holder left behind. */
  void onLeasesLeft(LeasesLeft left) {
    long nowMs = clock.nowMs();
    earlierLeases.onHeard(left, nowMs);
    coordinator.ifPresent(holder -> complete |= holder.onLeasesLeft(left, nowMs));
  }

  /** The term of an earlier holder is over, perhaps of this process: then it stops at once. */
  void onHolderEnded(PeerChannel sender, HolderEnded ended) {
    if (coordinator.isPresent() && coordinator.get().term() < ended.term()) {
      onTermReplaced.run();
    }
    earlierLeases.leasesBefore(ended.term(), clock.nowMs()).ifPresent(sender::send);
  }
}
