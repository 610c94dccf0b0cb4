package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.RemainingLeases;
import io.cuminvalve.core.protocol.TermSuperseded;
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
final class LeaseInheritance {

  private final PeerNetwork network;
  private final Subscribers subscribers;
  private final MillisClock clock;
  private final Runnable onReplaced;
  private final EarlierLeases earlierLeases = new EarlierLeases();
  private Optional<HolderDuties> duties = Optional.empty();
  private Optional<String> formerHolder = Optional.empty();
  private boolean known;

  LeaseInheritance(
      PeerNetwork network, Subscribers subscribers, MillisClock clock, Runnable onReplaced) {
    this.network = network;
    this.subscribers = subscribers;
    this.clock = clock;
    this.onReplaced = onReplaced;
  }

  /** This process holds the term now. */
  void onGained(HolderDuties gained, Optional<String> holderBefore) {
    duties = Optional.of(gained);
    formerHolder = holderBefore;
    EarlierLeases.Memory heard = earlierLeases.heard();
    known = gained.onLeasesLeft(heard.left(), heard.toldMs());
    ask();
  }

  /** This process holds the term no longer: whoever is next need not wait for more than this. */
  void onLost(HolderDuties ended) {
    duties = Optional.empty();
    RemainingLeases left = new RemainingLeases(ended.term(), ended.leasesLeft());
    earlierLeases.onOwnTermEnded(left, clock.nowMs());
    subscribers.tell(left);
  }

  /** Asks once more, as the holder, unless it is known already. */
  void ask() {
    if (known) {
      return;
    }
    TermSuperseded question = new TermSuperseded(duties.orElseThrow().term());
    formerHolder.ifPresent(address -> network.send(address, question));
    subscribers.tell(question);
  }

  /** Another gateway tells what an ended holder left behind. */
  void onLeasesLeft(RemainingLeases left) {
    long nowMs = clock.nowMs();
    earlierLeases.onHeard(left, nowMs);
    duties.ifPresent(holder -> known |= holder.onLeasesLeft(left, nowMs));
  }

  /** The term of an earlier holder is over, perhaps of this process: then it stops at once. */
  void onHolderEnded(PeerChannel sender, TermSuperseded ended) {
    if (duties.isPresent() && duties.get().term() < ended.term()) {
      onReplaced.run();
    }
    earlierLeases.leftBefore(ended.term(), clock.nowMs()).ifPresent(sender::send);
  }
}
