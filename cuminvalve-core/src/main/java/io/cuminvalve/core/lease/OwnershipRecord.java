package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * All assignments, as the store keeps them.
 *
 * <p>Addresses are kept because the next holder of the term may never see a target listed that has
 * ended meanwhile. Whoever answers at its address proves that it has ended, or releases its keys;
 * without an address they stay closed for the longest lease of any earlier holder, 20 s, and as
 * long again if that holder is replaced too.
 *
 * @param term the term of the holder that wrote it
 * @param tables one for each service with keys; not null
 * @param addresses of all targets that the tables name, as far as they are known; not null
 * @param storeEpoch the epoch of the store in which it was written: in a later one, moves that were
 *     written after it may be lost; 0 if the store tells of none
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
   * Creates a record with the addresses of the targets that its tables name.
   *
   * @param term the term of the holder that writes it
   * @param tables one for each service with keys; not null
   * @param addressOf finds the address of a target; not null
   * @param storeEpoch the epoch of the store in which it is written; 0 if it tells of none
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
