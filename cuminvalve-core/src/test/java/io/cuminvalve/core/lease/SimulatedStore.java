package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The simulated store of the assignments with compare-and-set writes. It can be rolled back to an
 * older copy; revisions of a later epoch are higher than all earlier ones.
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

  /** Writes if the revision is still the expected one. */
  boolean replace(long expectedRevision, OwnershipRecord next) {
    if (revision() != expectedRevision) {
      return false;
    }
    written.add(next);
    return true;
  }

  /** Restores a copy that lacks the newest writes. */
  void rollBack(int writes) {
    int kept = Math.max(1, written.size() - writes);
    written.subList(kept, written.size()).clear();
    epoch++;
  }
}
