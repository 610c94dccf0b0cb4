package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/** The state of one key range and its lease, as known to the term holder. */
final class LeasedRange {

  private final KeyRange range;
  private final Map<TargetId, PreviousOwner> previousOwners = new LinkedHashMap<>();
  private TargetId owner;
  private long token;
  private boolean tokenSent;

  /** The version of the assignments that must be durable before orders for this range are sent. */
  private long neededVersion;

  private Optional<String> handover = Optional.empty();
  private boolean granted;
  private boolean stale;
  private boolean grantInFlight;
  private long nextGrantMs;

  /** The leases that this term holder granted to the owner, without the grant in flight. */
  private GrantedLeases leases = GrantedLeases.NONE;

  /** Until when a lease that an earlier term holder granted to the owner may be in force. */
  private long foreignUntilMs;

  /** Until when the lease of the grant in flight may be in force. */
  private long inFlightUntilMs;

  /** Until when a grant that got no answer may still be carried out. */
  private long unansweredUntilMs;

  LeasedRange(KeyRange range, TargetId owner, long token, long neededVersion) {
    this.range = range;
    this.owner = owner;
    this.token = token;
    this.neededVersion = neededVersion;
  }

  /** Returns a copy of this state for other keys, when ranges are split or merged. */
  LeasedRange withKeys(KeyRange keys) {
    LeasedRange copy = new LeasedRange(keys, owner, token, neededVersion);
    previousOwners.forEach((id, previous) -> copy.previousOwners.put(id, previous.copy()));
    copy.handover = handover;
    copy.granted = granted;
    copy.stale = stale;
    copy.tokenSent = tokenSent;
    copy.grantInFlight = grantInFlight;
    copy.nextGrantMs = nextGrantMs;
    copy.leases = leases;
    copy.foreignUntilMs = foreignUntilMs;
    copy.inFlightUntilMs = inFlightUntilMs;
    copy.unansweredUntilMs = unansweredUntilMs;
    return copy;
  }

  KeyRange range() {
    return range;
  }

  TargetId owner() {
    return owner;
  }

  long token() {
    return token;
  }

  long neededVersion() {
    return neededVersion;
  }

  Optional<String> handover() {
    return handover;
  }

  Map<TargetId, PreviousOwner> previousOwners() {
    return previousOwners;
  }

  boolean isOpen() {
    return granted && previousOwners.isEmpty();
  }

  boolean isStale() {
    return stale;
  }

  /**
   * Returns whether the range is open and no order is in flight or may still be carried out, so
   * that it can be moved without waiting for an earlier move.
   */
  boolean isSettled(long nowMs) {
    return isOpen() && !stale && !grantInFlight && unansweredUntilMs <= nowMs;
  }

  boolean isGrantDue(long nowMs) {
    return previousOwners.isEmpty() && !stale && !grantInFlight && nextGrantMs <= nowMs;
  }

  void assumeForeignLease(long untilMs) {
    foreignUntilMs = untilMs;
  }

  /** Returns when the leases that this term holder granted expire; 0 if it granted none. */
  long renewedUntilMs() {
    return leases.untilMs();
  }

  /** Returns until when the owner may hold the range under any lease. */
  long ownerUntilMs() {
    long pendingUntilMs = grantInFlight ? inFlightUntilMs : 0;
    return Math.max(Math.max(leases.untilMs(), pendingUntilMs), foreignUntilMs);
  }

  /** Limits foreign leases to the expiry times that an earlier term holder reported. */
  void limitForeign(ToLongFunction<TargetId> untilMs) {
    foreignUntilMs = Math.min(foreignUntilMs, untilMs.applyAsLong(owner));
    previousOwners.forEach((id, previous) -> previous.limitForeign(untilMs.applyAsLong(id)));
  }

  /** Opens the range: the owner probably still has a lease from the previous term holder. */
  void assumeGranted() {
    granted = true;
  }

  void assumePreviousOwner(TargetId id, long foreignUntil) {
    previousOwners.put(id, new PreviousOwner(GrantedLeases.NONE, 0, foreignUntil, 0));
  }

  /** Returns how long each previous owner may still hold the range. */
  List<LeaseBound> bounds(long nowMs) {
    List<LeaseBound> bounds = new ArrayList<>();
    previousOwners.forEach(
        (id, previous) -> bounds.add(new LeaseBound(id, Math.max(0, previous.untilMs() - nowMs))));
    return bounds;
  }

  void reassign(TargetId newOwner, long newToken, long version, long nowMs) {
    long pendingUntilMs = grantInFlight ? inFlightUntilMs : 0;
    long openGrantUntilMs = grantInFlight ? inFlightUntilMs : unansweredUntilMs;
    previousOwners.values().forEach(PreviousOwner::restartRelease);
    if (ownerUntilMs() > nowMs) {
      previousOwners.put(
          owner, new PreviousOwner(leases, pendingUntilMs, foreignUntilMs, openGrantUntilMs));
    }
    owner = newOwner;
    neededVersion = version;
    leases = GrantedLeases.NONE;
    foreignUntilMs = 0;
    unansweredUntilMs = 0;
    handover = Optional.empty();
    resetWithToken(newToken);
    granted = false;
  }

  /**
   * Replaces earlier runs of a target by a later run, which inherits their leases. If it becomes
   * the owner, it is granted the range once the given version is durable. Returns whether any owner
   * or previous owner was replaced.
   */
  boolean onRestarted(TargetId run, long version) {
    boolean replaced = false;
    for (TargetId id : List.copyOf(previousOwners.keySet())) {
      if (run.isLaterRunOf(id)) {
        PreviousOwner previous = previousOwners.remove(id);
        previous.onRestarted();
        previousOwners.merge(run, previous, PreviousOwner::mergedWith);
        replaced = true;
      }
    }
    if (run.isLaterRunOf(owner)) {
      if (grantInFlight) {
        leases = leases.withUnobserved(inFlightUntilMs);
        unansweredUntilMs = inFlightUntilMs;
        grantInFlight = false;
      }
      owner = run;
      neededVersion = version;
      granted = false;
      nextGrantMs = 0;
      replaced = true;
    }
    return replaced;
  }

  /**
   * Takes a new token unless the current one was never sent in a grant.
   *
   * <p>A renewal may reach another run of the owner under the same name. For that run it is a first
   * grant, so its token must be higher than that of the earlier run.
   */
  void useFreshToken(LongSupplier tokens) {
    if (tokenSent) {
      token = tokens.getAsLong();
    }
    tokenSent = true;
  }

  void makeGrantDue() {
    nextGrantMs = 0;
  }

  /** Continues under a higher token; the next grant is due at once. */
  void resetWithToken(long newToken) {
    token = newToken;
    tokenSent = false;
    stale = false;
    grantInFlight = false;
    nextGrantMs = 0;
  }

  void onGrantSent(long untilMs) {
    grantInFlight = true;
    inFlightUntilMs = untilMs;
  }

  void onGrantEnded(OrderOutcome outcome, long nowMs, long nextMs) {
    grantInFlight = false;
    nextGrantMs = nextMs;
    unansweredUntilMs = outcome == OrderOutcome.UNANSWERED ? inFlightUntilMs : 0;
    switch (outcome) {
      case DONE -> {
        granted = true;
        leases = leases.with(inFlightUntilMs, nowMs);
      }
      case UNANSWERED -> leases = leases.with(inFlightUntilMs, nowMs);
      case STALE -> {
        stale = true;
        granted = false;
      }
      case REJECTED, OTHER_TARGET -> granted = false;
      default -> {
        // Nothing was sent: the lease is unchanged.
      }
    }
  }

  void onReleased(TargetId id, Optional<String> handoverData, long nextMs) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.onReleaseEnded(true, nextMs);
      if (handoverData.isPresent()) {
        handover = handoverData;
      }
    }
  }

  /**
   * Makes the next order to a target due at once, after a report that it has terminated. The answer
   * shows whether it has.
   */
  void makeOrdersDue(TargetId id) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.makeReleaseDue();
    }
    if (owner.equals(id)) {
      makeGrantDue();
    }
  }

  /**
   * Drops the leases that cannot be in force any longer because another target answered to an order
   * for this one.
   *
   * @param id the target that the order was for
   * @param sentMs when the order was sent
   */
  void onOtherTarget(TargetId id, long sentMs) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.onOtherTarget(sentMs);
    }
    if (owner.equals(id)) {
      leases = leases.withoutGrantsEndedBefore(sentMs);
      foreignUntilMs = 0;
    }
  }

  /** Removes previous owners that no longer hold the range. Returns whether there were any. */
  boolean removeOwnersWithoutLease(long nowMs) {
    return previousOwners.values().removeIf(previous -> previous.holdsNoLease(nowMs));
  }

  /** Returns whether the next range is adjacent and one lease of the same owner can cover both. */
  boolean canMergeWith(LeasedRange next, long nowMs) {
    return owner.equals(next.owner)
        && isSettled(nowMs)
        && next.isSettled(nowMs)
        && range.last() + 1 == next.range.first();
  }

  LeasedRange mergedWith(LeasedRange next) {
    LeasedRange joined = withKeys(new KeyRange(range.first(), next.range.last()));
    joined.leases = leases.mergedWith(next.leases);
    joined.foreignUntilMs = Math.max(foreignUntilMs, next.foreignUntilMs);
    joined.neededVersion = Math.max(neededVersion, next.neededVersion);
    return joined;
  }
}
