package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.TargetOutcome;
import io.cuminvalve.core.authority.TargetReply;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.table.ShardTable;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Sees to it that the present run of each target holds the grants of the shards that it owns.
 *
 * <p>A target that restarted has forgotten its grants; a new holder does not know who holds any.
 * Giving the same grant again changes nothing. Targets that obey anyone get theirs again from time
 * to time, since an old holder's late revocation may have undone it.
 *
 * @since 0.1
 */
public final class GrantKeeper {

  private static final long REPEAT_MS = 5_000;

  private final HolderContext context;
  private final TargetWatch targets;
  private final MoveExecutor moves;
  private final Map<TargetId, State> states = new HashMap<>();

  /**
   * Creates a keeper that knows of no grant.
   *
   * @param context the holder; not null
   * @param targets knows the targets; not null
   * @param moves grants moving shards; not null
   */
  public GrantKeeper(HolderContext context, TargetWatch targets, MoveExecutor moves) {
    this.context = context;
    this.targets = targets;
    this.moves = moves;
  }

  /**
   * Gives grants to targets that may lack them.
   *
   * @param table the issued table; not null
   * @param nowMs the current time
   */
  public void tick(ShardTable table, long nowMs) {
    for (int index = 0; index < table.targets().size(); index++) {
      TargetId target = table.targets().get(index);
      State state = states.computeIfAbsent(target, id -> new State());
      Incarnation present = targets.incarnation(target);
      boolean repeat =
          targets.capability() == GrantCapability.CHECKS_NOTHING
              && nowMs - state.grantedAtMs >= REPEAT_MS;
      boolean reachable = present.isKnown() && !targets.isLost(target);
      boolean lacking = reachable && (!present.equals(state.grantedTo) || repeat);
      if (lacking && !state.inFlight && nowMs >= state.retryAtMs) {
        grant(table, index, state, nowMs);
      }
    }
  }

  private void grant(ShardTable table, int index, State state, long nowMs) {
    TargetId target = table.targets().get(index);
    int[] shards =
        IntStream.range(0, table.shardCount())
            .filter(shard -> table.owner(shard) == index)
            .filter(shard -> !table.isMoving(shard) || moves.isOpen(shard))
            .toArray();
    if (shards.length == 0) {
      state.grantedTo = targets.incarnation(target);
      state.grantedAtMs = nowMs;
      return;
    }
    long[] tokens = IntStream.of(shards).mapToLong(table::token).toArray();
    state.inFlight = true;
    context
        .outbox()
        .grant(
            target,
            shards,
            tokens,
            nowMs,
            (reply, repliedAtMs) -> onGranted(state, reply, nowMs, repliedAtMs));
  }

  private void onGranted(State state, TargetReply reply, long sentAtMs, long nowMs) {
    state.inFlight = false;
    state.retryAtMs = nowMs + context.timings().probeMs();
    targets.onReply(reply, sentAtMs, nowMs);
    if (reply.outcome() == TargetOutcome.DONE) {
      state.grantedTo = reply.incarnation();
      state.grantedAtMs = nowMs;
    } else if (reply.outcome() == TargetOutcome.REJECTED) {
      context.outbox().stateChanged("grantRejected", reply.target().value());
    }
  }

  private static final class State {
    private Incarnation grantedTo = Incarnation.UNKNOWN;
    private long grantedAtMs;
    private long retryAtMs = Long.MIN_VALUE;
    private boolean inFlight;
  }
}
