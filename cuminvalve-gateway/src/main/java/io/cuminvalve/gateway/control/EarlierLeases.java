package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.RemainingLease;
import io.cuminvalve.core.protocol.RemainingLeases;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the leases that earlier term holders left in force.
 *
 * <p>A holder that has the list need not wait for the longest lease that anyone might have granted.
 * Every gateway keeps it, since the previous holder may be lost with its host. All methods run on
 * the control thread.
 */
final class EarlierLeases {

  private Snapshot own = new Snapshot(new RemainingLeases(0, List.of()), 0);
  private Snapshot received = own;

  /** Records the remaining leases at the end of a term of this process. */
  void onOwnTermEnded(RemainingLeases remaining, long nowMs) {
    own = new Snapshot(remaining, nowMs);
  }

  /**
   * Records remaining leases received from another process, its own or those of an earlier holder.
   */
  void onReceived(RemainingLeases remaining, long nowMs) {
    if (remaining.term() > received.remaining().term()) {
      received = new Snapshot(remaining, nowMs);
    }
  }

  /** Returns the newest leases received from other processes; with term 0 if there are none. */
  Snapshot received() {
    return received;
  }

  /**
   * Returns the leases of the newest known term, if it is earlier than the given one, with the time
   * that each has left.
   */
  Optional<RemainingLeases> leasesBefore(long term, long nowMs) {
    Snapshot newest = own.remaining().term() > received.remaining().term() ? own : received;
    if (newest.remaining().term() == 0 || newest.remaining().term() >= term) {
      return Optional.empty();
    }
    return Optional.of(newest.at(nowMs));
  }

  /**
   * The remaining leases at one point in time.
   *
   * @param remaining the leases; not null
   * @param takenMs the point in time; milliseconds
   */
  record Snapshot(RemainingLeases remaining, long takenMs) {

    private RemainingLeases at(long nowMs) {
      long elapsedMs = nowMs - takenMs;
      List<RemainingLease> running = new ArrayList<>();
      for (RemainingLease lease : remaining.leases()) {
        if (lease.leftMs() > elapsedMs) {
          running.add(
              new RemainingLease(
                  lease.service(),
                  lease.firstKey(),
                  lease.lastKey(),
                  lease.target(),
                  lease.leftMs() - elapsedMs));
        }
      }
      return new RemainingLeases(remaining.term(), running);
    }
  }
}
