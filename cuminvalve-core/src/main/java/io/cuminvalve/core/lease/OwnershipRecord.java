package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * All assignments, as persisted in the store.
 *
 * <p>Addresses are included because a target that has terminated may never be registered while the
 * next term holder runs. An answer at its address either proves that it has terminated or releases
 * its keys. Without an address the keys stay closed for the longest lease of any earlier term
 * holder, 20 s, and again for as long if that term holder is replaced too.
 *
 * @param term the term in which the record was written
 * @param tables one for each service with keys; not null
 * @param addresses the known addresses of the targets in the tables; not null
 * @param storeEpoch the epoch of the store in which the record was written; in a later epoch, moves
 *     written after this record may be lost; 0 if the store reports no epoch
 * @since 0.2
 */
public record OwnershipRecord(
    long term, List<OwnershipTable> tables, List<TargetAddress> addresses, long storeEpoch) {

  /** Copies the lists. */
  public OwnershipRecord {
    tables = List.copyOf(tables);
    addresses = List.copyOf(addresses);
  }

  /**
   * Creates a record with the addresses of the targets in its tables.
   *
   * @param term the term in which the record is written
   * @param tables one for each service with keys; not null
   * @param addressOf returns the address of a target; not null
   * @param storeEpoch the current epoch of the store; 0 if the store reports none
   * @return never null
   */
  public static OwnershipRecord of(
      long term,
      List<OwnershipTable> tables,
      Function<TargetId, Optional<String>> addressOf,
      long storeEpoch) {
    Set<TargetId> named = new LinkedHashSet<>();
    for (OwnershipTable table : tables) {
      for (RangeAssignment assignment : table.assignments()) {
        named.add(assignment.owner());
        named.addAll(assignment.previousOwners());
      }
    }
    List<TargetAddress> addresses = new ArrayList<>();
    for (TargetId target : named) {
      addressOf
          .apply(target)
          .ifPresent(address -> addresses.add(new TargetAddress(target, address)));
    }
    return new OwnershipRecord(term, tables, addresses, storeEpoch);
  }
}
