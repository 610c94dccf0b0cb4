package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Proves that no router dispatches under a version older than the newest one.
 *
 * @since 0.1
 */
public final class ClosingTracker {

  private final HolderContext context;
  private final ShardTable table;
  private final TwoRoundQuorum quorum;
  private final Set<RouterId> routersAfter = new HashSet<>();
  private final Map<RouterId, Map<Incarnation, Long>> grantEndsMs = new HashMap<>();
  private boolean closed;
  private long grantsEndMs;

  /**
   * Starts to close everything older than a table.
   *
   * @param table the newest table; not null
   * @param rounds numbers the heartbeats; not null
   * @param context the holder; not null
   */
  public ClosingTracker(ShardTable table, RoundCounter rounds, HolderContext context) {
    this.context = context;
    this.table = table;
    List<Set<RouterId>> sets =
        List.of(Set.copyOf(table.witnesses()), Set.copyOf(table.previousWitnesses()));
    this.quorum =
        new TwoRoundQuorum(
            sets, reply -> reply.learned() && isAcknowledged(reply), rounds, context);
  }

  /**
   * Takes a reply into account.
   *
   * @param reply the reply; not null
   * @param nowMs the current time
   */
  public void onReply(HeartbeatReply reply, long nowMs) {
    if (!isAcknowledged(reply)) {
      return;
    }
    // The first acknowledgement of a run counts: later ones include grants under the new version.
    grantEndsMs
        .computeIfAbsent(reply.router(), router -> new HashMap<>())
        .putIfAbsent(reply.incarnation(), nowMs + reply.dispatchRemainingMs());
    quorum.onReply(reply, nowMs);
    if (quorum.isAfterReached(reply)) {
      routersAfter.add(reply.router());
    }
    update(nowMs);
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    quorum.tick(nowMs);
    if (!quorum.isReached()) {
      routersAfter.clear();
    }
    update(nowMs);
  }

  /**
   * Tells whether a heartbeat sent now would bring the closing forward.
   *
   * @return true between the rounds
   */
  public boolean awaitsSecondRound() {
    return quorum.isReached() && !closed;
  }

  /**
   * Tells whether all older versions are closed.
   *
   * @return true once and for all
   */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Returns when the last grant that rode on a request under an older version has ended.
   *
   * @return on the holder's clock, margin included; meaningful once closed
   */
  public long grantsEndMs() {
    return grantsEndMs;
  }

  private boolean isAcknowledged(HeartbeatReply reply) {
    return reply.term() == context.term() && !table.version().isNewerThan(reply.version());
  }

  private void update(long nowMs) {
    if (closed || !quorum.isComplete()) {
      return;
    }
    long lapsedMs = quorum.reachedAtMs() + context.timings().routeLeaseMs() + context.marginMs();
    // A removed router is not asked; while one may be left, only the lapse of its lease counts.
    boolean allReplied = table.previousWitnesses().isEmpty() && haveAllRoutersReplied();
    boolean waived = !context.rules().waitForRouters();
    if (allReplied || nowMs >= lapsedMs || waived) {
      closed = true;
      grantsEndMs = allReplied || waived ? Math.min(lapsedMs, lastGrantEndMs()) : lapsedMs;
    }
  }

  private boolean haveAllRoutersReplied() {
    return table.routers().stream().map(RegisteredRouter::id).allMatch(routersAfter::contains);
  }

  private long lastGrantEndMs() {
    long lastMs = Long.MIN_VALUE;
    for (Map<Incarnation, Long> ends : grantEndsMs.values()) {
      for (long endMs : ends.values()) {
        lastMs = Math.max(lastMs, endMs);
      }
    }
    return lastMs == Long.MIN_VALUE ? lastMs : lastMs + context.marginMs();
  }
}
