package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/** One range, as the holder of the term sees it. */
final class LeasedRange {

  private final KeyRange range;
  private final Map<TargetId, PreviousOwner> previousOwners = new LinkedHashMap<>();
  private TargetId owner;
  private long token;
  private boolean tokenSent;

  /** The version of the assignments that has to be durable before this one is acted on. */
  private long neededVersion;

  private Optional<String> handover = Optional.empty();
  private boolean granted;
  private boolean stale;
  private boolean grantInFlight;
  private long nextGrantMs;

  /** What this holder granted the owner, without the grant in flight. */
  private GrantedLeases leases = GrantedLeases.NONE;

  /** Until when a lease of the owner may be in force that an earlier holder granted. */
  private long foreignUntilMs;

  /** The same for the grant in flight. */
  private long inFlightUntilMs;

  private long unansweredUntilMs;

  LeasedRange(KeyRange range, TargetId owner, long token, long neededVersion) {
    this.range = range;
    this.owner = owner;
    this.token = token;
    this.neededVersion = neededVersion;
  }

  /** Returns the same state for other keys: a part of these, or these and their neighbours. */
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

  /** Tells whether nothing is under way, so that the range may be moved without a detour. */
  boolean isSettled(long nowMs) {
    return isOpen() && !stale && !grantInFlight && unansweredUntilMs <= nowMs;
  }

  boolean isGrantDue(long nowMs) {
    return previousOwners.isEmpty() && !stale && !grantInFlight && nextGrantMs <= nowMs;
  }

  void assumeForeignLease(long untilMs) {
    foreignUntilMs = untilMs;
  }

  /** Returns until when the lease runs that this holder granted last; 0 if it granted none. */
  long renewedUntilMs() {
    return leases.untilMs();
  }

  /** Returns until when the owner may hold the range, by whatever lease. */
  long ownerUntilMs() {
    long underWayMs = grantInFlight ? inFlightUntilMs : 0;
    return Math.max(Math.max(leases.untilMs(), underWayMs), foreignUntilMs);
  }

  /** An earlier holder told until when a target may hold these keys. */
  void limitForeign(ToLongFunction<TargetId> untilMs) {
    foreignUntilMs = Math.min(foreignUntilMs, untilMs.applyAsLong(owner));
    previousOwners.forEach((id, previous) -> previous.limitForeign(untilMs.applyAsLong(id)));
  }

  /** The owner probably has its lease from the holder before: requests may go there. */
  void assumeGranted() {
    granted = true;
  }

  void assumePreviousOwner(TargetId id, long foreignUntil) {
    previousOwners.put(id, new PreviousOwner(GrantedLeases.NONE, 0, foreignUntil, 0));
  }

  /** Returns for how long each previous owner may still hold the range. */
  List<LeaseBound> bounds(long nowMs) {
    List<LeaseBound> bounds = new ArrayList<>();
    previousOwners.forEach(
        (id, previous) -> bounds.add(new LeaseBound(id, Math.max(0, previous.untilMs() - nowMs))));
    return bounds;
  }

  void reassign(TargetId newOwner, long newToken, long version, long nowMs) {
    long underWayMs = grantInFlight ? inFlightUntilMs : 0;
    long openUntilMs = grantInFlight ? inFlightUntilMs : unansweredUntilMs;
    previousOwners.values().forEach(PreviousOwner::restart);
    if (ownerUntilMs() > nowMs) {
      previousOwners.put(owner, new PreviousOwner(leases, underWayMs, foreignUntilMs, openUntilMs));
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

  /** A later run of a target stands in for those before. Tells whether that changes anything. */
  boolean onRestarted(TargetId run) {
    boolean takesOver = false;
    for (TargetId id : List.copyOf(previousOwners.keySet())) {
      if (run.isLaterRunOf(id)) {
        PreviousOwner previous = previousOwners.remove(id);
        previous.onRestarted();
        previousOwners.merge(run, previous, PreviousOwner::mergedWith);
        takesOver = true;
      }
    }
    if (run.isLaterRunOf(owner)) {
      if (grantInFlight) {
        leases = leases.withUnobserved(inFlightUntilMs);
        unansweredUntilMs = inFlightUntilMs;
        grantInFlight = false;
      }
      owner = run;
      granted = false;
      nextGrantMs = 0;
      takesOver = true;
    }
    return takesOver;
  }

  /**
   * Takes another token unless this one was never sent in a grant.
   *
   * <p>Another run of the owner may answer under the same name. For that run it is no renewal but a
   * first grant, and its token has to be above that of the run before.
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

  /** Goes on with the same owner under a higher token. */
  void resetWithToken(long newToken) {
    token = newToken;
    tokenSent = false;
    stale = false;
    grantInFlight = false;
    nextGrantMs = 0;
  }

  void onGrantSent(long heldUntil) {
    grantInFlight = true;
    inFlightUntilMs = heldUntil;
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
        // Nothing was sent: the lease runs on as it is.
      }
    }
  }

  void onReleased(TargetId id, Optional<String> passedOn, long nextMs) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.onReleaseEnded(true, nextMs);
      if (passedOn.isPresent()) {
        handover = passedOn;
      }
    }
  }

  /** The target is said to have ended: it is asked at once, which proves it or not. */
  void makeOrdersDue(TargetId id) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.makeReleaseDue();
    }
    if (owner.equals(id)) {
      makeGrantDue();
    }
  }

  /** Another target answered to an order for this one that was sent then. */
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

  /** Drops the previous owners that hold nothing any more. Tells whether there were any. */
  boolean removeOwnersWithoutLease(long nowMs) {
    return previousOwners.values().removeIf(previous -> previous.holdsNoLease(nowMs));
  }

  /** Tells whether a neighbour is in the same state, so that one lease can serve both. */
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
