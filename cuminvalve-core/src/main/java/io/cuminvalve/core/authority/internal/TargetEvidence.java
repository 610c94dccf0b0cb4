package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.TargetObservation;
import java.util.HashMap;
import java.util.Map;

/**
 * Combines what routers and the holder itself saw of one target.
 *
 * <p>Every observer with a recent opinion has one vote. A target is lost when more than half of the
 * votes, and at least two, are against it, so that nobody's bad link alone condemns it. It is back
 * once it answered the holder several times in a row and the votes no longer condemn it.
 *
 * @since 0.1
 */
final class TargetEvidence {

  private static final int MIN_VOTES = 2;
  private static final int ANSWERS_TO_RETURN = 3;
  private static final int FRESH_HEARTBEATS = 5;

  private final AuthorityTimings timings;
  private final Map<RouterId, Seen> seen = new HashMap<>();
  private Incarnation incarnation = Incarnation.UNKNOWN;
  private long ownAnswerAtMs = Long.MIN_VALUE;
  private long ownSilentSinceMs = Long.MIN_VALUE;
  private boolean ownRefused;
  private int answersInRow;
  private boolean lost;
  private int votesAgainst;

  TargetEvidence(AuthorityTimings timings) {
    this.timings = timings;
  }

  /** Records what a router saw; returns whether it saw another run than the holder did. */
  boolean onObservation(RouterId router, TargetObservation observation, long nowMs) {
    seen.put(router, new Seen(observation, nowMs));
    return observation.incarnation().isKnown()
        && incarnation.isKnown()
        && !observation.incarnation().equals(incarnation);
  }

  /** Records an answer to the holder; returns whether it shows another run than before. */
  boolean onOwnAnswer(Incarnation answering, long nowMs) {
    ownAnswerAtMs = nowMs;
    ownSilentSinceMs = Long.MIN_VALUE;
    ownRefused = false;
    answersInRow++;
    boolean restarted = incarnation.isKnown() && !incarnation.equals(answering);
    incarnation = answering;
    return restarted;
  }

  /** Records that the holder got no answer to something that it sent at a time. */
  void onOwnFailure(boolean refused, long sentAtMs) {
    answersInRow = 0;
    ownRefused = refused;
    if (ownSilentSinceMs == Long.MIN_VALUE) {
      ownSilentSinceMs = sentAtMs;
    }
  }

  /** Counts the votes; returns whether the target was lost or came back. */
  boolean evaluate(long nowMs) {
    int against = 0;
    int inFavour = 0;
    for (Seen vote : seen.values()) {
      Vote opinion = voteOf(vote, nowMs);
      against += opinion == Vote.AGAINST ? 1 : 0;
      inFavour += opinion == Vote.IN_FAVOUR ? 1 : 0;
    }
    Vote own = ownVote(nowMs);
    against += own == Vote.AGAINST ? 1 : 0;
    inFavour += own == Vote.IN_FAVOUR ? 1 : 0;
    votesAgainst = against;
    boolean condemned = against >= MIN_VOTES && against > inFavour;
    boolean before = lost;
    if (condemned) {
      lost = true;
    } else if (lost && answersInRow >= ANSWERS_TO_RETURN) {
      lost = false;
    }
    return before != lost;
  }

  boolean isLost() {
    return lost;
  }

  /** Tells whether somebody's vote is against the target, so that it is worth probing. */
  boolean isSuspected() {
    return lost || votesAgainst > 0;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  private Vote voteOf(Seen vote, long nowMs) {
    long passedMs = nowMs - vote.atMs;
    if (passedMs > FRESH_HEARTBEATS * timings.heartbeatMs()) {
      return Vote.NONE;
    }
    TargetObservation observation = vote.observation;
    boolean answered = observation.lastAnswerAgeMs() < timings.suspicionMs();
    boolean silent = observation.unansweredMs() >= timings.suspicionMs();
    if (observation.refused()) {
      return Vote.AGAINST;
    }
    if (answered) {
      return Vote.IN_FAVOUR;
    }
    return silent ? Vote.AGAINST : Vote.NONE;
  }

  private Vote ownVote(long nowMs) {
    if (ownRefused) {
      return Vote.AGAINST;
    }
    boolean silent = ownSilentSinceMs != Long.MIN_VALUE;
    if (silent && nowMs - ownSilentSinceMs >= timings.suspicionMs()) {
      return Vote.AGAINST;
    }
    boolean answered = ownAnswerAtMs != Long.MIN_VALUE;
    boolean recent = answered && nowMs - ownAnswerAtMs < timings.suspicionMs();
    return recent ? Vote.IN_FAVOUR : Vote.NONE;
  }

  private enum Vote {
    NONE,
    IN_FAVOUR,
    AGAINST
  }

  private record Seen(TargetObservation observation, long atMs) {}
}
