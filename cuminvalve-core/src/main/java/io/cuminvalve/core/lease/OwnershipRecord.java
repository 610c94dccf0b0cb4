package io.cuminvalve.core.lease;

import java.util.List;

/**
 * All assignments, as the store keeps them.
 *
 * @param term the term of the holder that wrote it
 * @param tables one for each service with keys; not null
 * @since 0.2
 */
public record OwnershipRecord(long term, List<OwnershipTable> tables) {

  /** Copies the list. */
  public OwnershipRecord {
    tables = List.copyOf(tables);
  }
}
