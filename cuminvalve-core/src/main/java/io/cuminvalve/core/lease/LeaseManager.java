package io.cuminvalve.core.lease;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.RemainingLease;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Grants, renews and moves the leases on the key ranges of one service. Used by the term holder.
 *
 * <p>Safety guarantee: a grant for a range is issued only after the assignment is durable and every
 * target that may have held the range is known to hold it no longer. That is known once the target
 * has answered a release that carries the new token, or its lease has expired even on the slowest
 * permitted clock, or another target has answered in its place to an order that was sent after the
 * last grant had ended. A grant that got no answer may still be carried out later; until its lease
 * would have expired, a successful release alone is not sufficient. Not thread-safe.
 *
 * @since 0.2
 */
public final class LeaseManager {

  /** Placeholder for a previous owner that is not known; orders are never sent to it. */
  private static final TargetId UNKNOWN_OWNER = new TargetId("unknown-owner");

  private final ServiceId service;
  private final LeaseTimings timings;
  private final LongSupplier tokens;
  private final LeasedRanges ranges = new LeasedRanges();
  private long version;
  private long writtenVersion;
  private boolean cleanupPending;
  private boolean routesChanged;
  private boolean outage;

  /**
   * Creates a manager without assignments.
   *
   * @param service the service; not null
   * @param timings the lease timings; not null
   * @param tokens supplies fencing tokens, each higher than all tokens issued before by any term
   *     holder; not null
   */
  public LeaseManager(ServiceId service, LeaseTimings timings, LongSupplier tokens) {
    this.service = service;
    this.timings = timings;
    this.tokens = tokens;
  }

  /**
   * Takes over the assignments that an earlier term holder stored. Every owner keeps its ranges and
   * is granted them again under a new token.
   *
   * <p>Only owners can have been renewed since the table was written. For previous owners the
   * stored bounds apply, counted from now. Without them, each new term holder would wait again for
   * the longest lease that any earlier one could have granted.
   *
   * @param table the stored assignments; not null
   * @param nowMs a time at or after the read of the table; milliseconds
   * @param foreignUntilMs until when leases granted by earlier term holders may be in force;
   *     milliseconds
   */
  public void takeOver(OwnershipTable table, long nowMs, long foreignUntilMs) {
    long token = tokens.getAsLong();
    version++;
    for (RangeAssignment assignment : table.assignments()) {
      LeasedRange leased = new LeasedRange(assignment.range(), assignment.owner(), token, version);
      leased.assumeForeignLease(foreignUntilMs);
      for (TargetId id : assignment.previousOwners()) {
        long longestMs = Math.max(0, foreignUntilMs - nowMs);
        long leftMs = Math.min(longestMs, assignment.leftMs(id).orElse(longestMs));
        leased.assumePreviousOwner(id, nowMs + leftMs);
      }
      // Most leases outlive a change of the term holder; if this one has not, the target refuses
      // the request.
      leased.assumeGranted();
      ranges.add(leased);
    }
    routesChanged = true;
  }

  /**
   * Keeps all ranges closed because any target may still hold them, for example after the store has
   * lost writes.
   *
   * @param untilMs until when leases granted by earlier term holders may be in force; milliseconds
   */
  public void assumeUnknownOwners(long untilMs) {
    ranges.forEach(leased -> leased.assumePreviousOwner(UNKNOWN_OWNER, untilMs));
    routesChanged = true;
  }

  /**
   * Shortens the assumed foreign leases to those that the previous term holder reports. The
   * previous term holder must have stopped granting leases.
   *
   * @param leases every lease that it reports, for any service; not null
   * @param nowMs the current time; milliseconds
   */
  public void limitForeignLeases(List<RemainingLease> leases, long nowMs) {
    for (LeasedRange leased : ranges) {
      leased.limitForeign(target -> nowMs + maxRemainingMs(leases, leased.range(), target));
    }
  }

  private long maxRemainingMs(List<RemainingLease> leases, KeyRange range, TargetId target) {
    long leftMs = 0;
    for (RemainingLease lease : leases) {
      boolean overlaps = lease.firstKey() <= range.last() && range.first() <= lease.lastKey();
      // The previous term holder may not know which run of the target received its grants.
      boolean sameTarget = lease.target().name().equals(target.name());
      if (overlaps && sameTarget && lease.service().equals(service)) {
        leftMs = Math.max(leftMs, lease.leftMs());
      }
    }
    return leftMs;
  }

  /**
   * Returns the leases that may still be in force.
   *
   * @param nowMs the current time; milliseconds
   * @return never null
   */
  public List<RemainingLease> remainingLeases(long nowMs) {
    List<RemainingLease> result = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      addRemaining(leased.range(), leased.owner(), leased.ownerUntilMs() - nowMs, result);
      leased
          .previousOwners()
          .forEach(
              (id, previous) ->
                  addRemaining(leased.range(), id, previous.untilMs() - nowMs, result));
    }
    return result;
  }

  private void addRemaining(
      KeyRange range, TargetId target, long leftMs, List<RemainingLease> result) {
    if (leftMs > 0) {
      result.add(new RemainingLease(service, range.first(), range.last(), target, leftMs));
    }
  }

  /**
   * Creates the initial assignment of all keys, in proportion to the slots of the targets.
   *
   * @param targets the targets; not null, not empty
   */
  public void partition(List<FleetTarget> targets) {
    long token = tokens.getAsLong();
    version++;
    int slots = targets.stream().mapToInt(FleetTarget::slots).sum();
    int slotsBefore = 0;
    for (FleetTarget target : targets) {
      int first = boundary(slotsBefore, slots);
      slotsBefore += target.slots();
      int last = boundary(slotsBefore, slots) - 1;
      if (first <= last) {
        ranges.add(new LeasedRange(new KeyRange(first, last), target.id(), token, version));
      }
    }
    routesChanged = true;
  }

  private static int boundary(int slotsBefore, int slots) {
    return (int) ((long) KeyRange.KEY_COUNT * slotsBefore / slots);
  }

  /**
   * Returns whether the keys are assigned.
   *
   * @return false before {@link #takeOver} or {@link #partition} is called
   */
  public boolean isPartitioned() {
    return !ranges.isEmpty();
  }

  /**
   * Assigns keys to another target. Orders are issued only after the change is written.
   *
   * @param keys the keys; ranges that overlap them partly are split; not null
   * @param to the new owner; not null
   * @param nowMs the current time; milliseconds
   */
  public void move(KeyRange keys, TargetId to, long nowMs) {
    ranges.splitAt(keys);
    version++;
    long token = tokens.getAsLong();
    for (LeasedRange leased : ranges) {
      if (keys.contains(leased.range()) && !leased.owner().equals(to)) {
        leased.reassign(to, token, version, nowMs);
      }
    }
    routesChanged = true;
  }

  /**
   * Returns the number of ranges. Each range is one lease to renew.
   *
   * @return at least 0
   */
  public int rangeCount() {
    return ranges.size();
  }

  /**
   * Returns the ranges whose owner may no longer own keys.
   *
   * @param usable tests whether a target may own keys; not null
   * @return never null
   */
  public List<KeyRange> rangesWithUnusableOwner(Predicate<TargetId> usable) {
    return ranges.withUnusableOwner(usable);
  }

  /**
   * Handles a report that a target has terminated. The report alone ends no lease: it may be late,
   * and the next run under the same name may have accepted grants since. Orders to the target
   * become due at once, and an answer from another target proves that it has terminated.
   *
   * @param id the target; not null
   */
  public void onGone(TargetId id) {
    ranges.forEach(leased -> leased.makeOrdersDue(id));
  }

  /**
   * Handles the restart of a target under the same name.
   *
   * <p>The new run holds none of the earlier leases, but orders for the earlier run may have
   * reached it. Leases of the earlier run are therefore attributed to the new run, which can be
   * reached: it is granted its ranges again under a higher token, or is asked to release them.
   *
   * <p>The new run may have another address. It is granted its ranges once the assignments that
   * name it are durable; otherwise the next term holder would look for the owner at the address of
   * the earlier run.
   *
   * @param run the current run; not null
   * @return whether it replaces the owner or a previous owner of any range
   */
  public boolean onRestarted(TargetId run) {
    boolean replaced = false;
    long nextVersion = version + 1;
    for (LeasedRange leased : ranges) {
      replaced |= leased.onRestarted(run, nextVersion);
    }
    if (replaced) {
      version = nextVersion;
      routesChanged = true;
    }
    return replaced;
  }

  /**
   * Sets whether the store is unavailable. When an outage begins, all leases become due for renewal
   * at once; during the outage they are granted for longer.
   *
   * @param now true while the store does not answer
   */
  public void setOutage(boolean now) {
    if (now && !outage) {
      ranges.forEach(LeasedRange::makeGrantDue);
    }
    outage = now;
  }

  /**
   * Returns the orders to send now and records them as sent.
   *
   * @param nowMs the current time; milliseconds
   * @param canSendTo tests whether one more order may be sent to a target now; called before each
   *     order; not null
   * @return never null
   */
  public List<LeaseOrder> due(long nowMs, Predicate<TargetId> canSendTo) {
    List<LeaseOrder> orders = new ArrayList<>();
    List<LeasedRange> toGrant = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      if (leased.neededVersion() > writtenVersion) {
        continue;
      }
      cleanupPending |= leased.removeOwnersWithoutLease(nowMs);
      addReleases(leased, nowMs, canSendTo, orders);
      if (leased.isGrantDue(nowMs)) {
        toGrant.add(leased);
      }
    }
    // The number of orders in flight is limited: owners without a lease come first, then those
    // whose lease expires first.
    toGrant.sort(Comparator.comparingLong(LeasedRange::renewedUntilMs));
    for (LeasedRange leased : toGrant) {
      if (canSendTo.test(leased.owner())) {
        orders.add(createGrant(leased, nowMs));
      }
    }
    return orders;
  }

  /**
   * Returns the interval between two renewals of a lease. It grows with the number of leases, which
   * limits the orders per second that the term holder sends.
   */
  private long renewMs() {
    long spreadMs = ranges.size() * timings.renewalCostMs();
    return Math.min(timings.maxRenewMs(), Math.max(timings.renewMs(), spreadMs));
  }

  private void addReleases(
      LeasedRange leased, long nowMs, Predicate<TargetId> canSendTo, List<LeaseOrder> orders) {
    for (Map.Entry<TargetId, PreviousOwner> entry : leased.previousOwners().entrySet()) {
      boolean known = !entry.getKey().equals(UNKNOWN_OWNER);
      if (known && entry.getValue().isReleaseDue(nowMs) && canSendTo.test(entry.getKey())) {
        entry.getValue().onReleaseSent(nowMs);
        orders.add(
            new LeaseOrder.Release(
                service, entry.getKey(), leased.range(), leased.token(), outage));
      }
    }
  }

  private LeaseOrder.Grant createGrant(LeasedRange leased, long nowMs) {
    leased.useFreshToken(tokens);
    long leaseMs = outage ? timings.outageLeaseMs() : timings.leaseMs();
    leased.onGrantSent(nowMs + timings.boundMs(leaseMs));
    return new LeaseOrder.Grant(
        service,
        leased.owner(),
        leased.range(),
        leased.token(),
        leaseMs,
        leased.handover(),
        outage);
  }

  /**
   * Handles the outcome of a grant.
   *
   * @param order the grant; not null
   * @param outcome how it ended; not null
   * @param sentMs when it was sent; milliseconds
   * @param nowMs the current time; milliseconds
   * @return whether the grant opened a range that was closed before
   */
  public boolean onGrantEnded(
      LeaseOrder.Grant order, OrderOutcome outcome, long sentMs, long nowMs) {
    handleOtherTarget(order, outcome, sentMs);
    long nextMs = outcome == OrderOutcome.DONE ? sentMs + renewMs() : nowMs + timings.retryMs();
    boolean opened = false;
    for (LeasedRange leased : ranges) {
      if (!order.range().contains(leased.range())) {
        continue;
      }
      if (leased.token() == order.token() && leased.owner().equals(order.target())) {
        boolean wasOpen = leased.isOpen();
        leased.onGrantEnded(outcome, nowMs, nextMs);
        opened |= !wasOpen && leased.isOpen();
        routesChanged |= wasOpen != leased.isOpen();
      }
      PreviousOwner previous = leased.previousOwners().get(order.target());
      if (previous != null) {
        previous.onGrantEnded(outcome, nowMs);
      }
    }
    return opened;
  }

  /**
   * Handles the outcome of a release.
   *
   * @param order the release; not null
   * @param outcome how it ended; not null
   * @param handover the data that the target returned for the next owner; not null
   * @param nowMs the current time; milliseconds
   */
  public void onReleaseEnded(
      LeaseOrder.Release order, OrderOutcome outcome, Optional<String> handover, long nowMs) {
    handleOtherTarget(order, outcome, ranges.releaseSentMs(order));
    long nextMs = nowMs + timings.retryMs();
    for (LeasedRange leased : ranges) {
      if (!order.range().contains(leased.range()) || leased.token() != order.token()) {
        continue;
      }
      if (outcome == OrderOutcome.DONE) {
        leased.onReleased(order.target(), handover, nextMs);
        continue;
      }
      PreviousOwner previous = leased.previousOwners().get(order.target());
      if (previous != null) {
        previous.onReleaseEnded(false, nextMs);
      }
    }
  }

  private void handleOtherTarget(LeaseOrder order, OrderOutcome outcome, long sentMs) {
    if (outcome == OrderOutcome.OTHER_TARGET) {
      ranges.forEach(leased -> leased.onOtherTarget(order.target(), sentMs));
    }
  }

  /**
   * Returns whether a target has rejected a grant because it knows a higher token.
   *
   * @return true until {@link #renewTokens()} is called
   */
  public boolean hasStaleTokens() {
    return ranges.any(LeasedRange::isStale);
  }

  /** Replaces stale tokens by higher ones. To be called after the term was confirmed. */
  public void renewTokens() {
    for (LeasedRange leased : ranges) {
      if (leased.isStale()) {
        leased.resetWithToken(tokens.getAsLong());
      }
    }
  }

  /**
   * Merges adjacent ranges of one owner that have no order in flight, which leaves fewer leases to
   * renew. If their tokens differ, the merged range gets a new one.
   *
   * @param nowMs the current time; milliseconds
   */
  public void mergeAdjacentRanges(long nowMs) {
    ranges.mergeAdjacentRanges(nowMs, tokens);
  }

  /**
   * Returns the assignments to store.
   *
   * @param nowMs the current time; milliseconds
   * @return never null
   */
  public OwnershipTable table(long nowMs) {
    return new OwnershipTable(service, ranges.assignments(nowMs));
  }

  /**
   * Returns the version of the assignments.
   *
   * @return a number that increases with each change that must be durable before it takes effect
   */
  public long version() {
    return version;
  }

  /**
   * Returns whether there are assignments that have not been written.
   *
   * @return true if orders are held back until they are written
   */
  public boolean needsWrite() {
    return version > writtenVersion;
  }

  /**
   * Returns whether the stored assignments list previous owners that no longer hold a lease.
   *
   * @return true if a write would save the next term holder from releasing them
   */
  public boolean isCleanupPending() {
    return cleanupPending;
  }

  /**
   * Handles the successful write of the assignments.
   *
   * @param written the value of {@link #version()} when {@link #table} was called
   */
  public void onWritten(long written) {
    writtenVersion = Math.max(writtenVersion, written);
    cleanupPending = false;
  }

  /**
   * Returns the current routes and resets {@link #routesChanged()}.
   *
   * @return in the order of keys; never null
   */
  public List<RangeRoute> routes() {
    return routes(range -> 0);
  }

  /**
   * Returns the current routes and resets {@link #routesChanged()}.
   *
   * @param refusedPercent returns the percentage of requests for a range that gateways refuse; not
   *     null
   * @return in the order of keys; never null
   */
  public List<RangeRoute> routes(ToIntFunction<KeyRange> refusedPercent) {
    routesChanged = false;
    return ranges.routes(refusedPercent);
  }

  /**
   * Returns whether the routes have changed since {@link #routes()} was last called.
   *
   * @return true if routers have to be updated
   */
  public boolean routesChanged() {
    return routesChanged;
  }

  /**
   * Returns the ranges of each owner that are settled, or those that are not. A settled range has a
   * granted lease, no previous owner, and no grant that is in flight or may still be carried out.
   *
   * @param settled true for settled ranges, false for the others
   * @param nowMs the current time; milliseconds
   * @return by owner; never null
   */
  public Map<TargetId, List<KeyRange>> rangesByOwner(boolean settled, long nowMs) {
    return ranges.byOwner(settled, nowMs);
  }
}
