package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import java.util.List;

/**
 * The assignments of all keys of one service.
 *
 * @param service the service; not null
 * @param assignments in the order of keys, covering every key; not null
 * @since 0.2
 */
public record OwnershipTable(ServiceId service, List<RangeAssignment> assignments) {

  /** Copies the list. */
  public OwnershipTable {
    assignments = List.copyOf(assignments);
  }
}
