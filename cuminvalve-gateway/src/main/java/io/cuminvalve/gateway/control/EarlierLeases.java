package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.LeaseLeft;
import io.cuminvalve.core.protocol.LeasesLeft;
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

  private Snapshot own = new Snapshot(new LeasesLeft(0, List.of()), 0);
  private Snapshot received = own;

  /** Records the remaining leases at the end of a term of this process. */
  void onOwnTermEnded(LeasesLeft remaining, long nowMs) {
    own = new Snapshot(remaining, nowMs);
  }

  /**
   * Records remaining leases received from another process, its own or those of an earlier holder.
   */
  void onReceived(LeasesLeft remaining, long nowMs) {
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
  Optional<LeasesLeft> leasesBefore(long term, long nowMs) {
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
  record Snapshot(LeasesLeft remaining, long takenMs) {

    private LeasesLeft at(long nowMs) {
      long elapsedMs = nowMs - takenMs;
      List<LeaseLeft> running = new ArrayList<>();
      for (LeaseLeft lease : remaining.leases()) {
        if (lease.leftMs() > elapsedMs) {
          running.add(
              new LeaseLeft(
                  lease.service(),
                  lease.firstKey(),
                  lease.lastKey(),
                  lease.target(),
                  lease.leftMs() - elapsedMs));
        }
      }
      return new LeasesLeft(remaining.term(), running);
    }
  }
}
