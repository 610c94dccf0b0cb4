package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.RemainingLeases;
import io.cuminvalve.core.protocol.TermSuperseded;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import java.util.Optional;

/**
 * Passes on from one term holder to the next which leases may still be in force.
 *
 * <p>A new holder asks its predecessor and every gateway that follows it, until one has the
 * complete list; the answers may free keys many seconds earlier. A predecessor that still runs
 * stops at once. All methods run on the control thread.
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

  /** Handles the start of a term of this process. */
  void onGained(TermCoordinator gained, Optional<String> holderBefore) {
    coordinator = Optional.of(gained);
    formerHolder = holderBefore;
    EarlierLeases.Snapshot received = earlierLeases.received();
    complete = gained.onRemainingLeases(received.remaining(), received.takenMs());
    requestLeases();
  }

  /**
   * Handles the end of the term of this process and sends its remaining leases, so that the next
   * holder waits only for these.
   */
  void onLost(TermCoordinator ended) {
    coordinator = Optional.empty();
    RemainingLeases remaining = new RemainingLeases(ended.term(), ended.remainingLeases());
    earlierLeases.onOwnTermEnded(remaining, clock.nowMs());
    subscribers.sendToAll(remaining);
  }

  /** Requests the remaining leases again, as the holder, unless the list is complete. */
  void requestLeases() {
    if (complete) {
      return;
    }
    TermSuperseded request = new TermSuperseded(coordinator.orElseThrow().term());
    formerHolder.ifPresent(address -> network.send(address, request));
    subscribers.sendToAll(request);
  }

  /** Handles the remaining leases of an ended holder, received from another gateway. */
  void onRemainingLeases(RemainingLeases remaining) {
    long nowMs = clock.nowMs();
    earlierLeases.onReceived(remaining, nowMs);
    coordinator.ifPresent(holder -> complete |= holder.onRemainingLeases(remaining, nowMs));
  }

  /**
   * Handles the request of the holder of a later term. If this process still holds an earlier term,
   * it stops at once.
   */
  void onTermSuperseded(PeerChannel sender, TermSuperseded ended) {
    if (coordinator.isPresent() && coordinator.get().term() < ended.term()) {
      onTermReplaced.run();
    }
    earlierLeases.leasesBefore(ended.term(), clock.nowMs()).ifPresent(sender::send);
  }
}
