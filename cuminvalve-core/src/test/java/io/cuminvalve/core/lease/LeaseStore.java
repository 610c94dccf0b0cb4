package io.cuminvalve.core.lease;

import java.util.List;

/** The store of the assignments: each write replaces one revision. */
final class LeaseStore {

  private OwnershipRecord stored = new OwnershipRecord(0, List.of(), List.of(), 0);
  private long revision;

  OwnershipRecord stored() {
    return stored;
  }

  long revision() {
    return revision;
  }

  /** Writes if nobody else has written meanwhile. */
  boolean replace(long expectedRevision, OwnershipRecord next) {
    if (revision != expectedRevision) {
      return false;
    }
    stored = next;
    revision++;
    return true;
  }
}
