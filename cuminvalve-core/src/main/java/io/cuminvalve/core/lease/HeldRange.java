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
final class HeldRange {

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

  /** Until when a lease of the owner may be in force, without the grant in flight. */
  private long heldUntilMs;

  /** Until when a lease of the owner may be in force that an earlier holder granted. */
  private long foreignUntilMs;

  /** The same for the grant in flight. */
  private long inFlightUntilMs;

  private long unansweredUntilMs;

  /** Whether an order, or news, told that the owner is not there: the next run may be. */
  private boolean absenceSeen;

  /** Until when a lease may be in force by a grant that was sent after that. */
  private long afterAbsenceUntilMs;

  HeldRange(KeyRange range, TargetId owner, long token, long neededVersion) {
    this.range = range;
    this.owner = owner;
    this.token = token;
    this.neededVersion = neededVersion;
  }

  /** Returns the same state for other keys: a part of these, or these and their neighbours. */
  HeldRange withKeys(KeyRange keys) {
    HeldRange copy = new HeldRange(keys, owner, token, neededVersion);
    previousOwners.forEach((id, previous) -> copy.previousOwners.put(id, previous.copy()));
    copy.handover = handover;
    copy.granted = granted;
    copy.stale = stale;
    copy.tokenSent = tokenSent;
    copy.grantInFlight = grantInFlight;
    copy.nextGrantMs = nextGrantMs;
    copy.heldUntilMs = heldUntilMs;
    copy.foreignUntilMs = foreignUntilMs;
    copy.inFlightUntilMs = inFlightUntilMs;
    copy.unansweredUntilMs = unansweredUntilMs;
    copy.absenceSeen = absenceSeen;
    copy.afterAbsenceUntilMs = afterAbsenceUntilMs;
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

  private void assumeHeldUntil(long untilMs) {
    heldUntilMs = Math.max(heldUntilMs, untilMs);
  }

  void assumeForeignLease(long untilMs) {
    foreignUntilMs = untilMs;
  }

  /** Returns until when the lease runs that this holder granted last; 0 if it granted none. */
  long renewedUntilMs() {
    return heldUntilMs;
  }

  /** Returns until when the owner may hold the range, by whatever lease. */
  long ownerUntilMs() {
    long ours = grantInFlight ? Math.max(heldUntilMs, inFlightUntilMs) : heldUntilMs;
    return Math.max(ours, foreignUntilMs);
  }

  /** Returns until when a later run of the owner may hold the range, by a grant for the owner. */
  private long nextRunUntilMs() {
    return grantInFlight ? Math.max(afterAbsenceUntilMs, inFlightUntilMs) : afterAbsenceUntilMs;
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
    previousOwners.put(id, new PreviousOwner(0, foreignUntil, 0, 0, 0));
  }

  /** Returns for how long each previous owner may still hold the range. */
  List<LeaseBound> bounds(long nowMs) {
    List<LeaseBound> bounds = new ArrayList<>();
    previousOwners.forEach(
        (id, previous) -> bounds.add(new LeaseBound(id, Math.max(0, previous.untilMs() - nowMs))));
    return bounds;
  }

  void reassign(TargetId newOwner, long newToken, long version, long nowMs) {
    long untilMs = grantInFlight ? Math.max(heldUntilMs, inFlightUntilMs) : heldUntilMs;
    long openUntilMs = grantInFlight ? inFlightUntilMs : unansweredUntilMs;
    previousOwners.values().forEach(PreviousOwner::restart);
    if (Math.max(untilMs, foreignUntilMs) > nowMs) {
      previousOwners.put(
          owner,
          new PreviousOwner(
              untilMs, foreignUntilMs, openUntilMs, nextRunUntilMs(), afterAbsenceUntilMs));
    }
    owner = newOwner;
    neededVersion = version;
    heldUntilMs = 0;
    foreignUntilMs = 0;
    unansweredUntilMs = 0;
    absenceSeen = false;
    afterAbsenceUntilMs = 0;
    handover = Optional.empty();
    restartWith(newToken);
    granted = false;
  }

  /** A later run of a target stands in for those before. Tells whether that changes anything. */
  boolean onRestarted(TargetId run) {
    boolean takesOver = false;
    for (TargetId id : List.copyOf(previousOwners.keySet())) {
      if (run.isLaterRunOf(id)) {
        PreviousOwner previous = previousOwners.remove(id);
        previous.restart();
        previousOwners.merge(run, previous, PreviousOwner::joinedWith);
        takesOver = true;
      }
    }
    if (run.isLaterRunOf(owner)) {
      if (grantInFlight) {
        assumeHeldUntil(inFlightUntilMs);
        unansweredUntilMs = inFlightUntilMs;
        grantInFlight = false;
      }
      owner = run;
      absenceSeen = false;
      afterAbsenceUntilMs = 0;
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

  void renewSoon() {
    nextGrantMs = 0;
  }

  /** Goes on with the same owner under a higher token. */
  void restartWith(long newToken) {
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

  void onGrantEnded(OrderOutcome outcome, long nextMs) {
    grantInFlight = false;
    nextGrantMs = nextMs;
    unansweredUntilMs = outcome == OrderOutcome.UNANSWERED ? inFlightUntilMs : 0;
    noteAbsence(outcome);
    switch (outcome) {
      case DONE -> {
        granted = true;
        assumeHeldUntil(inFlightUntilMs);
      }
      case UNANSWERED -> assumeHeldUntil(inFlightUntilMs);
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

  private void noteAbsence(OrderOutcome outcome) {
    if (outcome == OrderOutcome.NOT_SENT || outcome == OrderOutcome.OTHER_TARGET) {
      absenceSeen = true;
    } else if (absenceSeen) {
      afterAbsenceUntilMs = Math.max(afterAbsenceUntilMs, inFlightUntilMs);
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

  /**
   * What the run held is void. The next run of its name may have taken later grants for it, or take
   * the one in flight; these still count when the news is told again.
   */
  void onGone(TargetId id) {
    PreviousOwner previous = previousOwners.get(id);
    if (previous != null) {
      previous.onGone();
    }
    if (owner.equals(id)) {
      heldUntilMs = afterAbsenceUntilMs;
      foreignUntilMs = 0;
      unansweredUntilMs = Math.min(unansweredUntilMs, afterAbsenceUntilMs);
      absenceSeen = true;
    }
  }

  /** Drops the previous owners that hold nothing any more. Tells whether there were any. */
  boolean dropFreeOwners(long nowMs) {
    return previousOwners.values().removeIf(previous -> previous.isFree(nowMs));
  }

  /** Tells whether a neighbour is in the same state, so that one lease can serve both. */
  boolean joins(HeldRange next, long nowMs) {
    return owner.equals(next.owner)
        && isSettled(nowMs)
        && next.isSettled(nowMs)
        && range.last() + 1 == next.range.first();
  }

  HeldRange joinedWith(HeldRange next) {
    HeldRange joined = withKeys(new KeyRange(range.first(), next.range.last()));
    joined.heldUntilMs = Math.max(heldUntilMs, next.heldUntilMs);
    joined.foreignUntilMs = Math.max(foreignUntilMs, next.foreignUntilMs);
    joined.absenceSeen = absenceSeen || next.absenceSeen;
    joined.afterAbsenceUntilMs = Math.max(afterAbsenceUntilMs, next.afterAbsenceUntilMs);
    joined.neededVersion = Math.max(neededVersion, next.neededVersion);
    return joined;
  }
}
