package io.cuminvalve.core.lease;

/** What is known of a target that may still hold a range which another one is to get. */
final class PreviousOwner {

  /** Until when a lease of it may be in force that this holder granted. */
  private long heldUntilMs;

  /** The same for leases that earlier holders granted. */
  private long foreignUntilMs;

  /** Until when a grant that got no answer may still be carried out. */
  private long unansweredUntilMs;

  /** Until when the next run of its name may hold the range, by a grant that was meant for it. */
  private long nextRunUntilMs;

  /** The same, without the grant that was in flight at the move. */
  private long nextRunEarlierUntilMs;

  private boolean gone;
  private boolean released;
  private boolean releaseInFlight;
  private long nextReleaseMs;

  PreviousOwner(
      long heldUntilMs,
      long foreignUntilMs,
      long unansweredUntilMs,
      long nextRunUntilMs,
      long nextRunEarlierUntilMs) {
    this.heldUntilMs = heldUntilMs;
    this.foreignUntilMs = foreignUntilMs;
    this.unansweredUntilMs = unansweredUntilMs;
    this.nextRunUntilMs = nextRunUntilMs;
    this.nextRunEarlierUntilMs = nextRunEarlierUntilMs;
  }

  PreviousOwner copy() {
    PreviousOwner copy =
        new PreviousOwner(
            heldUntilMs, foreignUntilMs, unansweredUntilMs, nextRunUntilMs, nextRunEarlierUntilMs);
    copy.gone = gone;
    copy.released = released;
    copy.releaseInFlight = releaseInFlight;
    copy.nextReleaseMs = nextReleaseMs;
    return copy;
  }

  /** Returns what holds for both of two that turn out to be the same target. */
  PreviousOwner joinedWith(PreviousOwner other) {
    return new PreviousOwner(
        Math.max(heldUntilMs, other.heldUntilMs),
        Math.max(foreignUntilMs, other.foreignUntilMs),
        Math.max(unansweredUntilMs, other.unansweredUntilMs),
        Math.max(nextRunUntilMs, other.nextRunUntilMs),
        Math.max(nextRunEarlierUntilMs, other.nextRunEarlierUntilMs));
  }

  /** A new token is in use: what was answered under the one before no longer counts. */
  void restart() {
    released = false;
    releaseInFlight = false;
    nextReleaseMs = 0;
  }

  boolean isFree(long nowMs) {
    return untilMs() <= nowMs || (released && unansweredUntilMs <= nowMs);
  }

  /** Returns until when any lease of it may be in force. */
  long untilMs() {
    return Math.max(heldUntilMs, foreignUntilMs);
  }

  void limitForeign(long untilMs) {
    foreignUntilMs = Math.min(foreignUntilMs, untilMs);
  }

  boolean isReleaseDue(long nowMs) {
    return !released && !releaseInFlight && nextReleaseMs <= nowMs;
  }

  void onReleaseSent() {
    releaseInFlight = true;
  }

  void onReleaseEnded(boolean done, long nextMs) {
    releaseInFlight = false;
    released |= done;
    nextReleaseMs = nextMs;
  }

  /**
   * The grant that was in flight at the move was answered: it was carried out, or never is. That
   * tells nothing of earlier grants, which the next run may have taken.
   */
  void onGrantAnswered(OrderOutcome outcome) {
    unansweredUntilMs = 0;
    if (gone && outcome != OrderOutcome.DONE) {
      heldUntilMs = Math.min(heldUntilMs, nextRunEarlierUntilMs);
    }
  }

  void onGone() {
    gone = true;
    heldUntilMs = Math.min(heldUntilMs, nextRunUntilMs);
    foreignUntilMs = 0;
  }
}
