package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The store of the assignments: each write replaces one revision. It may come back from an older
 * copy of itself; revisions of a later epoch are above all of those before.
 */
final class SimulatedStore {

  private static final long REVISIONS_PER_EPOCH = 1_000_000;

  private final List<OwnershipRecord> written = new ArrayList<>();
  private long epoch = 1;

  SimulatedStore() {
    written.add(new OwnershipRecord(0, List.of(), List.of(), epoch));
  }

  OwnershipRecord stored() {
    return written.get(written.size() - 1);
  }

  long revision() {
    return epoch * REVISIONS_PER_EPOCH + written.size();
  }

  long epoch() {
    return epoch;
  }

  /** Writes if nobody else has written meanwhile. */
  boolean replace(long expectedRevision, OwnershipRecord next) {
    if (revision() != expectedRevision) {
      return false;
    }
    written.add(next);
    return true;
  }

  /** Comes back from a copy that lacks the newest writes. */
  void rollBack(int writes) {
    int kept = Math.max(1, written.size() - writes);
    written.subList(kept, written.size()).clear();
    epoch++;
  }
}
