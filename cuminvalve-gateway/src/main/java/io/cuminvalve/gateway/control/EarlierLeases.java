package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.LeaseLeft;
import io.cuminvalve.core.protocol.LeasesLeft;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Remembers which leases earlier holders of the term left behind.
 *
 * <p>A holder that knows them need not wait for the longest lease that anybody might have granted.
 * Every gateway remembers, since the holder before may be gone with its host. All methods are for
 * the control thread.
 */
final class EarlierLeases {

  private Snapshot own = new Snapshot(new LeasesLeft(0, List.of()), 0);
  private Snapshot heard = own;

  /** A term of this process is over. */
  void onOwnTermEnded(LeasesLeft left, long nowMs) {
    own = new Snapshot(left, nowMs);
  }

  /** Another process told what it, or a holder before it, left behind. */
  void onHeard(LeasesLeft left, long nowMs) {
    if (left.term() > heard.left().term()) {
      heard = new Snapshot(left, nowMs);
    }
  }

  /** Returns what other processes told last; of term 0 if they told nothing. */
  Snapshot heard() {
    return heard;
  }

  /** Returns what the newest term known left behind, with what is left of each lease by now. */
  Optional<LeasesLeft> leasesBefore(long term, long nowMs) {
    Snapshot newest = own.left().term() > heard.left().term() ? own : heard;
    if (newest.left().term() == 0 || newest.left().term() >= term) {
      return Optional.empty();
    }
    return Optional.of(newest.at(nowMs));
  }

  /**
   * What was left at one moment.
   *
   * @param left the leases; not null
   * @param takenMs the moment; milliseconds
   */
  record Snapshot(LeasesLeft left, long takenMs) {

    private LeasesLeft at(long nowMs) {
      long pastMs = nowMs - takenMs;
      List<LeaseLeft> running = new ArrayList<>();
      for (LeaseLeft lease : left.leases()) {
        if (lease.leftMs() > pastMs) {
          running.add(
              new LeaseLeft(
                  lease.service(),
                  lease.firstKey(),
                  lease.lastKey(),
                  lease.target(),
                  lease.leftMs() - pastMs));
        }
      }
      return new LeasesLeft(left.term(), running);
    }
  }
}
