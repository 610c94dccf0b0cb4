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
 * Grants, renews and moves the key ranges of one service, for the holder of the term.
 *
 * <p>What it promises: an order that gives keys to a target is issued only once the assignment is
 * durable and every target that may have held them is proved not to: it answered a release that
 * carries the new token, or its lease has run out on the slowest clock allowed, or another target
 * answered in its place to an order that was sent after the last grant had ended. A grant without
 * an answer may be carried out later; until its time is over, a release alone is no proof. Not safe
 * for use by several threads.
 *
 * @since 0.2
 */
public final class LeaseDesk {

  /** Stands for any target at all; no order can reach it. */
  private static final TargetId UNKNOWN_OWNER = new TargetId("unknown-owner");

  private final ServiceId service;
  private final LeaseTimings timings;
  private final LongSupplier tokens;
  private final HeldRanges ranges = new HeldRanges();
  private long version;
  private long writtenVersion;
  private boolean cleanupPending;
  private boolean routesChanged;
  private boolean outage;

  /**
   * Creates a desk without any assignment.
   *
   * @param service the service; not null
   * @param timings the times; not null
   * @param tokens gives fencing tokens, each above all that were given before, by any holder; not
   *     null
   */
  public LeaseDesk(ServiceId service, LeaseTimings timings, LongSupplier tokens) {
    this.service = service;
    this.timings = timings;
    this.tokens = tokens;
  }

  /**
   * Takes over what an earlier holder wrote. Every owner gets its ranges again, under a new token.
   *
   * <p>Only owners may have been renewed since the table was written. For previous owners its
   * bounds count, from now: else each holder would wait anew for the longest lease of any other.
   *
   * @param table the stored assignments; not null
   * @param nowMs when they had been read, or later; milliseconds
   * @param foreignUntilMs until when leases of earlier holders may be in force
   */
  public void takeOver(OwnershipTable table, long nowMs, long foreignUntilMs) {
    long token = tokens.getAsLong();
    version++;
    for (RangeAssignment assignment : table.assignments()) {
      HeldRange held = new HeldRange(assignment.range(), assignment.owner(), token, version);
      held.assumeForeignLease(foreignUntilMs);
      for (TargetId id : assignment.previousOwners()) {
        long longestMs = Math.max(0, foreignUntilMs - nowMs);
        long leftMs = Math.min(longestMs, assignment.leftMs(id).orElse(longestMs));
        held.assumePreviousOwner(id, nowMs + leftMs);
      }
      // Most leases outlive a change of the holder; a wrong guess costs a refused attempt.
      held.assumeGranted();
      ranges.add(held);
    }
    routesChanged = true;
  }

  /**
   * Keeps all keys closed, since nobody knows any more who may hold them.
   *
   * @param untilMs until when leases of earlier holders may be in force; a time of the clock;
   *     milliseconds
   */
  public void assumeUnknownOwners(long untilMs) {
    ranges.forEach(held -> held.assumePreviousOwner(UNKNOWN_OWNER, untilMs));
    routesChanged = true;
  }

  /**
   * Learns from the holder before which leases may still be in force; it grants no more.
   *
   * @param leases every lease that it knows of, of any service; not null
   * @param nowMs the time; milliseconds
   */
  public void limitForeignLeases(List<RemainingLease> leases, long nowMs) {
    for (HeldRange held : ranges) {
      held.limitForeign(target -> nowMs + longestLeft(leases, held.range(), target));
    }
  }

  private long longestLeft(List<RemainingLease> leases, KeyRange range, TargetId target) {
    long leftMs = 0;
    for (RemainingLease lease : leases) {
      boolean overlaps = lease.firstKey() <= range.last() && range.first() <= lease.lastKey();
      // That holder need not have noticed which run of the target took its grants.
      boolean sameTarget = lease.target().name().equals(target.name());
      if (overlaps && sameTarget && lease.service().equals(service)) {
        leftMs = Math.max(leftMs, lease.leftMs());
      }
    }
    return leftMs;
  }

  /**
   * Returns which leases may still be in force.
   *
   * @param nowMs the time; milliseconds
   * @return never null
   */
  public List<RemainingLease> leasesLeft(long nowMs) {
    List<RemainingLease> result = new ArrayList<>();
    for (HeldRange held : ranges) {
      addLeft(held.range(), held.owner(), held.ownerUntilMs() - nowMs, result);
      held.previousOwners()
          .forEach((id, past) -> addLeft(held.range(), id, past.untilMs() - nowMs, result));
    }
    return result;
  }

  private void addLeft(KeyRange range, TargetId target, long leftMs, List<RemainingLease> result) {
    if (leftMs > 0) {
      result.add(new RemainingLease(service, range.first(), range.last(), target, leftMs));
    }
  }

  /**
   * Assigns all keys for the first time, in proportion to the slots of the targets.
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
        ranges.add(new HeldRange(new KeyRange(first, last), target.id(), token, version));
      }
    }
    routesChanged = true;
  }

  private static int boundary(int slotsBefore, int slots) {
    return (int) ((long) KeyRange.KEY_COUNT * slotsBefore / slots);
  }

  /**
   * Tells whether keys are assigned at all.
   *
   * @return false before {@link #takeOver} or {@link #partition}
   */
  public boolean isPartitioned() {
    return !ranges.isEmpty();
  }

  /**
   * Gives a range, or a part of one, to another target. Takes effect once it is written.
   *
   * @param keys the keys; not null
   * @param to the next owner; not null
   * @param nowMs the time; milliseconds
   */
  public void move(KeyRange keys, TargetId to, long nowMs) {
    ranges.cutOut(keys);
    version++;
    long token = tokens.getAsLong();
    for (HeldRange held : ranges) {
      if (keys.contains(held.range()) && !held.owner().equals(to)) {
        held.reassign(to, token, version, nowMs);
      }
    }
    routesChanged = true;
  }

  /**
   * Returns how many ranges there are; each is a lease to renew.
   *
   * @return at least 0
   */
  public int rangeCount() {
    return ranges.size();
  }

  /**
   * Finds the ranges whose owner must not have them any longer.
   *
   * @param usable tells whether a target may own keys; not null
   * @return never null
   */
  public List<KeyRange> rangesOfOthers(Predicate<TargetId> usable) {
    return ranges.ofOthers(usable);
  }

  /**
   * Learns that a target is said to have ended. This frees no key: the news may be old, and the
   * next run of the target's name may have taken grants since. The target is asked at once, and who
   * answers in its place proves it.
   *
   * @param id the target; not null
   */
  public void onGone(TargetId id) {
    ranges.forEach(held -> held.askSoon(id));
  }

  /**
   * Learns that a target has started again under the name that it had.
   *
   * <p>The new run holds nothing of before, but orders for the one before may have reached it. So
   * what that one may hold is put down to the new run, which can be asked: it gets its keys again
   * at once under a higher token, or releases them.
   *
   * @param run the run that lives; not null
   * @return whether it takes anything over
   */
  public boolean onRestarted(TargetId run) {
    boolean takesOver = false;
    for (HeldRange held : ranges) {
      takesOver |= held.onRestarted(run);
    }
    routesChanged |= takesOver;
    return takesOver;
  }

  /**
   * Learns whether the store answers. If it does not, all leases are renewed at once and for
   * longer.
   *
   * @param now true while the store does not answer
   */
  public void setOutage(boolean now) {
    if (now && !outage) {
      ranges.forEach(HeldRange::renewSoon);
    }
    outage = now;
  }

  /**
   * Returns the orders to send now.
   *
   * @param nowMs the time; milliseconds
   * @param mayAsk tells whether a target may get one more order now; asked before each; not null
   * @return never null; each counts as sent
   */
  public List<LeaseOrder> due(long nowMs, Predicate<TargetId> mayAsk) {
    List<LeaseOrder> orders = new ArrayList<>();
    List<HeldRange> toGrant = new ArrayList<>();
    for (HeldRange held : ranges) {
      if (held.neededVersion() > writtenVersion) {
        continue;
      }
      cleanupPending |= held.dropFreeOwners(nowMs);
      addReleases(held, nowMs, mayAsk, orders);
      if (held.isGrantDue(nowMs)) {
        toGrant.add(held);
      }
    }
    // Orders under way are bounded: those without a lease, then those that lose it first.
    toGrant.sort(Comparator.comparingLong(HeldRange::renewedUntilMs));
    for (HeldRange held : toGrant) {
      if (mayAsk.test(held.owner())) {
        orders.add(grant(held, nowMs));
      }
    }
    return orders;
  }

  /**
   * Returns the pause between two renewals of a lease: longer if there are many leases, so that the
   * holder has no more to send a second.
   */
  private long renewMs() {
    long spreadMs = ranges.size() * timings.sendMs();
    return Math.min(timings.longestRenewMs(), Math.max(timings.renewMs(), spreadMs));
  }

  private void addReleases(
      HeldRange held, long nowMs, Predicate<TargetId> mayAsk, List<LeaseOrder> orders) {
    for (Map.Entry<TargetId, PreviousOwner> entry : held.previousOwners().entrySet()) {
      boolean known = !entry.getKey().equals(UNKNOWN_OWNER);
      if (known && entry.getValue().isReleaseDue(nowMs) && mayAsk.test(entry.getKey())) {
        entry.getValue().onReleaseSent(nowMs);
        orders.add(
            new LeaseOrder.Release(service, entry.getKey(), held.range(), held.token(), outage));
      }
    }
  }

  private LeaseOrder.Grant grant(HeldRange held, long nowMs) {
    held.useFreshToken(tokens);
    long leaseMs = outage ? timings.outageLeaseMs() : timings.leaseMs();
    held.onGrantSent(nowMs + timings.boundMs(leaseMs));
    return new LeaseOrder.Grant(
        service, held.owner(), held.range(), held.token(), leaseMs, held.handover(), outage);
  }

  /**
   * Takes the answer to a grant.
   *
   * @param order the grant; not null
   * @param outcome how it ended; not null
   * @param sentMs when it was sent; milliseconds
   * @param nowMs the time; milliseconds
   * @return whether keys that nobody could use before can be used from now on
   */
  public boolean onGrantEnded(
      LeaseOrder.Grant order, OrderOutcome outcome, long sentMs, long nowMs) {
    noteEnded(order, outcome, sentMs);
    long nextMs = outcome == OrderOutcome.DONE ? sentMs + renewMs() : nowMs + timings.retryMs();
    boolean opened = false;
    for (HeldRange held : ranges) {
      if (!order.range().contains(held.range())) {
        continue;
      }
      if (held.token() == order.token() && held.owner().equals(order.target())) {
        boolean wasOpen = held.isOpen();
        held.onGrantEnded(outcome, nowMs, nextMs);
        opened |= !wasOpen && held.isOpen();
        routesChanged |= wasOpen != held.isOpen();
      }
      PreviousOwner previous = held.previousOwners().get(order.target());
      if (previous != null) {
        previous.onGrantEnded(outcome, nowMs);
      }
    }
    return opened;
  }

  /**
   * Takes the answer to a release.
   *
   * @param order the release; not null
   * @param outcome how it ended; not null
   * @param handover what the target passed on; not null
   * @param nowMs the time; milliseconds
   */
  public void onReleaseEnded(
      LeaseOrder.Release order, OrderOutcome outcome, Optional<String> handover, long nowMs) {
    noteEnded(order, outcome, ranges.releaseSentMs(order));
    long nextMs = nowMs + timings.retryMs();
    for (HeldRange held : ranges) {
      if (!order.range().contains(held.range()) || held.token() != order.token()) {
        continue;
      }
      if (outcome == OrderOutcome.DONE) {
        held.onReleased(order.target(), handover, nextMs);
        continue;
      }
      PreviousOwner previous = held.previousOwners().get(order.target());
      if (previous != null) {
        previous.onReleaseEnded(false, nextMs);
      }
    }
  }

  private void noteEnded(LeaseOrder order, OrderOutcome outcome, long sentMs) {
    if (outcome == OrderOutcome.OTHER_TARGET) {
      ranges.forEach(held -> held.onOtherTarget(order.target(), sentMs));
    }
  }

  /**
   * Tells whether a target knows a higher token than the one in use.
   *
   * @return true until {@link #renewTokens()} is called
   */
  public boolean hasStaleTokens() {
    return ranges.any(HeldRange::isStale);
  }

  /** Goes on with higher tokens where ours were stale, once the term is confirmed. */
  public void renewTokens() {
    for (HeldRange held : ranges) {
      if (held.isStale()) {
        held.restartWith(tokens.getAsLong());
      }
    }
  }

  /**
   * Joins neighbouring ranges of one owner where nothing is under way, so that fewer leases need
   * renewal. The joined range goes on under a new token at the same owner.
   *
   * @param nowMs the time; milliseconds
   */
  public void joinNeighbours(long nowMs) {
    ranges.joinNeighbours(nowMs, tokens);
  }

  /**
   * Returns the assignments to write.
   *
   * @param nowMs the time; milliseconds
   * @return never null
   */
  public OwnershipTable table(long nowMs) {
    return new OwnershipTable(service, ranges.assignments(nowMs));
  }

  /**
   * Returns the version of the assignments.
   *
   * @return grows with each change that has to be durable before it takes effect
   */
  public long version() {
    return version;
  }

  /**
   * Tells whether assignments wait for being written.
   *
   * @return true if orders are held back until they are
   */
  public boolean needsWrite() {
    return version > writtenVersion;
  }

  /**
   * Tells whether the stored assignments name previous owners that hold nothing any more.
   *
   * @return true if a write would spare the next holder some work
   */
  public boolean isCleanupPending() {
    return cleanupPending;
  }

  /**
   * Learns that assignments are durable.
   *
   * @param written the version that {@link #table()} had
   */
  public void onWritten(long written) {
    writtenVersion = Math.max(writtenVersion, written);
    cleanupPending = false;
  }

  /**
   * Returns where requests go now, and marks it as known.
   *
   * @return in the order of keys; never null
   */
  public List<RangeRoute> routes() {
    return routes(range -> 0);
  }

  /**
   * Returns where requests go now, and marks it as known.
   *
   * @param refusedPercent which part of the requests for a range gateways refuse; not null
   * @return in the order of keys; never null
   */
  public List<RangeRoute> routes(ToIntFunction<KeyRange> refusedPercent) {
    routesChanged = false;
    return ranges.routes(refusedPercent);
  }

  /**
   * Tells whether {@link #routes()} changed since it was last called.
   *
   * @return true if routers have to be told
   */
  public boolean routesChanged() {
    return routesChanged;
  }

  /**
   * Returns the ranges of each target that may be moved without a detour, or the others.
   *
   * @param settled true for those that may be moved, false for those on which something is under
   *     way
   * @param nowMs the time; milliseconds
   * @return by owner; never null
   */
  public Map<TargetId, List<KeyRange>> rangesByOwner(boolean settled, long nowMs) {
    return ranges.byOwner(settled, nowMs);
  }
}
