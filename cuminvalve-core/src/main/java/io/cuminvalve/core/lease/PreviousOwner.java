package io.cuminvalve.core.lease;

/** The leases of a target that may still hold a range that was assigned to another target. */
final class PreviousOwner {

  /** The leases that this term holder granted, without the grant in flight. */
  private GrantedLeases leases;

  /**
   * Until when the lease of the grant that was in flight at the move may be in force; 0 if that
   * grant has ended.
   */
  private long inFlightUntilMs;

  /** Until when a lease that earlier term holders granted may be in force. */
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

  /** Returns the combined state of two entries that turn out to be the same target. */
  PreviousOwner mergedWith(PreviousOwner other) {
    return new PreviousOwner(
        leases.mergedWith(other.leases),
        Math.max(inFlightUntilMs, other.inFlightUntilMs),
        Math.max(foreignUntilMs, other.foreignUntilMs),
        Math.max(unansweredUntilMs, other.unansweredUntilMs));
  }

  /** Starts the release again under a new token; answers to earlier releases no longer count. */
  void restartRelease() {
    released = false;
    releaseInFlight = false;
    nextReleaseMs = 0;
  }

  /**
   * Attributes the leases to the next run of the target. Answers to orders for the earlier run are
   * no longer awaited.
   */
  void onRestarted() {
    restartRelease();
    if (inFlightUntilMs > 0) {
      leases = leases.withUnobserved(inFlightUntilMs);
      inFlightUntilMs = 0;
    }
  }

  boolean holdsNoLease(long nowMs) {
    return untilMs() <= nowMs || (released && unansweredUntilMs <= nowMs);
  }

  /** Returns until when any of its leases may be in force. */
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

  /** Handles the outcome of the grant that was in flight at the move. */
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

  /**
   * Drops the leases that cannot be in force any longer because another target answered to an order
   * for this one.
   *
   * @param sentMs when the order was sent
   */
  void onOtherTarget(long sentMs) {
    leases = leases.withoutGrantsEndedBefore(sentMs);
    foreignUntilMs = 0;
  }
}
