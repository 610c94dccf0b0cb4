package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.RemainingLease;
import io.cuminvalve.core.protocol.RemainingLeases;
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

  private Memory own = new Memory(new RemainingLeases(0, List.of()), 0);
  private Memory heard = own;

  /** A term of this process is over. */
  void onOwnTermEnded(RemainingLeases left, long nowMs) {
    own = new Memory(left, nowMs);
  }

  /** Another process told what it, or a holder before it, left behind. */
  void onHeard(RemainingLeases left, long nowMs) {
    if (left.term() > heard.left().term()) {
      heard = new Memory(left, nowMs);
    }
  }

  /** Returns what other processes told last; of term 0 if they told nothing. */
  Memory heard() {
    return heard;
  }

  /** Returns what the newest term known left behind, with what is left of each lease by now. */
  Optional<RemainingLeases> leftBefore(long term, long nowMs) {
    Memory newest = own.left().term() > heard.left().term() ? own : heard;
    if (newest.left().term() == 0 || newest.left().term() >= term) {
      return Optional.empty();
    }
    return Optional.of(newest.at(nowMs));
  }

  /**
   * What was left at one moment.
   *
   * @param left the leases; not null
   * @param toldMs the moment; milliseconds
   */
  record Memory(RemainingLeases left, long toldMs) {

    private RemainingLeases at(long nowMs) {
      long pastMs = nowMs - toldMs;
      List<RemainingLease> running = new ArrayList<>();
      for (RemainingLease lease : left.leases()) {
        if (lease.leftMs() > pastMs) {
          running.add(
              new RemainingLease(
                  lease.service(),
                  lease.firstKey(),
                  lease.lastKey(),
                  lease.target(),
                  lease.leftMs() - pastMs));
        }
      }
      return new RemainingLeases(left.term(), running);
    }
  }
}
