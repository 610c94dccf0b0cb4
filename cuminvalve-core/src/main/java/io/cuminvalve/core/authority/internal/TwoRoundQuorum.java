package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Proves that a majority of witnesses was in some state at one moment.
 *
 * <p>Round one ends at e, once a majority of each witness set replied that it is in the state. One
 * round is not enough: a witness may reply, restart and lose the state before the last of the
 * others replies. So in round two the same runs of the same witnesses must reply to heartbeats sent
 * after e. If some of them do not, round one starts over with whoever replied by then.
 *
 * @since 0.1
 */
public final class TwoRoundQuorum {

  private final List<Set<RouterId>> witnessSets;
  private final Predicate<HeartbeatReply> inState;
  private final RoundCounter rounds;
  private final SafetyRules rules;
  private final long restartMs;
  private final Map<RouterId, Incarnation> firstRound = new HashMap<>();
  private final Set<RouterId> secondRound = new HashSet<>();
  private long reachedAtMs = Long.MIN_VALUE;
  private long reachedBeforeRound;
  private boolean complete;

  /**
   * Creates a quorum without replies.
   *
   * @param witnessSets the sets of which a majority each is needed; empty sets need nobody
   * @param inState tells whether a reply shows the state; not null
   * @param rounds numbers the heartbeats; not null
   * @param context the holder; not null
   */
  public TwoRoundQuorum(
      List<Set<RouterId>> witnessSets,
      Predicate<HeartbeatReply> inState,
      RoundCounter rounds,
      HolderContext context) {
    this.witnessSets = witnessSets;
    this.inState = inState;
    this.rounds = rounds;
    this.rules = context.rules();
    this.restartMs = 3 * context.timings().heartbeatMs();
  }

  /**
   * Takes a reply into account.
   *
   * @param reply the reply; not null
   * @param nowMs the current time
   */
  public void onReply(HeartbeatReply reply, long nowMs) {
    if (complete || !inState.test(reply)) {
      return;
    }
    Incarnation first = firstRound.get(reply.router());
    boolean sameRun = reply.incarnation().equals(first) || !rules.sameIncarnation();
    if (isReached() && first != null && sameRun && reply.round() >= reachedBeforeRound) {
      secondRound.add(reply.router());
    }
    if (!isReached() || first == null) {
      firstRound.put(reply.router(), reply.incarnation());
    }
    update(nowMs);
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    if (!complete && isReached() && nowMs - reachedAtMs >= restartMs) {
      reachedAtMs = Long.MIN_VALUE;
      secondRound.clear();
      firstRound.clear();
    }
    update(nowMs);
  }

  /**
   * Tells whether round one ended.
   *
   * @return true from e on
   */
  public boolean isReached() {
    return reachedAtMs != Long.MIN_VALUE;
  }

  /**
   * Tells whether both rounds ended.
   *
   * @return true once the state is proved
   */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Returns e, the moment at which the state is proved to have held.
   *
   * @return meaningful once {@link #isReached()}
   */
  public long reachedAtMs() {
    return reachedAtMs;
  }

  /**
   * Tells whether a reply answers a heartbeat that was sent after e.
   *
   * @param reply the reply; not null
   * @return false before e
   */
  public boolean isAfterReached(HeartbeatReply reply) {
    return isReached() && reply.round() >= reachedBeforeRound;
  }

  private void update(long nowMs) {
    if (complete) {
      return;
    }
    if (!isReached() && hasMajorities(firstRound.keySet())) {
      reachedAtMs = nowMs;
      reachedBeforeRound = rounds.upcoming();
    }
    complete = isReached() && (!rules.twoRounds() || hasMajorities(secondRound));
  }

  private boolean hasMajorities(Set<RouterId> replied) {
    for (Set<RouterId> witnesses : witnessSets) {
      long count = witnesses.stream().filter(replied::contains).count();
      if (count < Majority.of(witnesses.size())) {
        return false;
      }
    }
    return true;
  }
}
