package io.cuminvalve.core.lease;

/** What is known of a target that may still hold a range which another one is to get. */
final class PreviousOwner {

  /** What this holder granted it, without the grant in flight. */
  private GrantedLeases leases;

  /** Until when the grant may be in force that was in flight at the move; 0 if it has ended. */
  private long inFlightUntilMs;

  /** Until when a lease of it may be in force that earlier holders granted. */
  private long foreignUntilMs;

  /** Until when a grant that got no answer may still be carried out. */
  private long unansweredUntilMs;

  private boolean released;
  private boolean releaseInFlight;
  private long releaseSentMs;
  private long nextReleaseMs;

  PreviousOwner(
      GrantedLeases leases, long inFlightUntilMs, long foreignUntilMs, long unansweredUntilMs) {
    this.leases = leases;
    this.inFlightUntilMs = inFlightUntilMs;
    this.foreignUntilMs = foreignUntilMs;
    this.unansweredUntilMs = unansweredUntilMs;
  }

  PreviousOwner copy() {
    PreviousOwner copy =
        new PreviousOwner(leases, inFlightUntilMs, foreignUntilMs, unansweredUntilMs);
    copy.released = released;
    copy.releaseInFlight = releaseInFlight;
    copy.releaseSentMs = releaseSentMs;
    copy.nextReleaseMs = nextReleaseMs;
    return copy;
  }

  /** Returns what holds for both of two that turn out to be the same target. */
  PreviousOwner mergedWith(PreviousOwner other) {
    return new PreviousOwner(
        leases.mergedWith(other.leases),
        Math.max(inFlightUntilMs, other.inFlightUntilMs),
        Math.max(foreignUntilMs, other.foreignUntilMs),
        Math.max(unansweredUntilMs, other.unansweredUntilMs));
  }

  /** A new token is in use: what was answered under the one before no longer counts. */
  void restart() {
    released = false;
    releaseInFlight = false;
    nextReleaseMs = 0;
  }

  /** Its next run stands in for it. Answers to orders for the run before are not waited for. */
  void onRestarted() {
    restart();
    if (inFlightUntilMs > 0) {
      leases = leases.withUnobserved(inFlightUntilMs);
      inFlightUntilMs = 0;
    }
  }

  boolean holdsNoLease(long nowMs) {
    return untilMs() <= nowMs || (released && unansweredUntilMs <= nowMs);
  }

  /** Returns until when any lease of it may be in force. */
  long untilMs() {
    return Math.max(Math.max(leases.untilMs(), inFlightUntilMs), foreignUntilMs);
  }

  void limitForeign(long untilMs) {
    foreignUntilMs = Math.min(foreignUntilMs, untilMs);
  }

  boolean isReleaseDue(long nowMs) {
    return !released && !releaseInFlight && nextReleaseMs <= nowMs;
  }

  void makeReleaseDue() {
    nextReleaseMs = 0;
  }

  void onReleaseSent(long nowMs) {
    releaseInFlight = true;
    releaseSentMs = nowMs;
  }

  /** Returns when the last release was sent. */
  long releaseSentMs() {
    return releaseSentMs;
  }

  void onReleaseEnded(boolean done, long nextMs) {
    releaseInFlight = false;
    released |= done;
    nextReleaseMs = nextMs;
  }

  /** The grant that was in flight at the move has ended. */
  void onGrantEnded(OrderOutcome outcome, long nowMs) {
    boolean carriedOut = outcome == OrderOutcome.DONE || outcome == OrderOutcome.UNANSWERED;
    if (carriedOut && inFlightUntilMs > 0) {
      leases = leases.with(inFlightUntilMs, nowMs);
    }
    inFlightUntilMs = 0;
    if (outcome != OrderOutcome.UNANSWERED) {
      unansweredUntilMs = 0;
    }
  }

  /** Another target answered to an order for this one that was sent then. */
  void onOtherTarget(long sentMs) {
    leases = leases.withoutGrantsEndedBefore(sentMs);
    foreignUntilMs = 0;
  }
}
