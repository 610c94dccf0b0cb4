package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.TargetOutcome;
import io.cuminvalve.core.authority.TargetReply;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.table.ShardTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Carries moving shards from their previous owner to the next: close, prove, grant, open.
 *
 * <p>Which proof that the previous owner stopped is enough depends on what targets check. An
 * answered revocation always is, from whichever run: a new run of the target has forgotten its
 * grants. A target that obeys anyone must have answered that its requests in flight ended, too.
 * Only a target that checks expiries is proved stopped by time.
 *
 * @since 0.1
 */
public final class MoveExecutor {

  private final HolderContext context;
  private final TargetWatch targets;
  private final Map<Integer, ShardMove> moves = new LinkedHashMap<>();

  /**
   * Creates an executor without moves.
   *
   * @param context the holder; not null
   * @param targets knows the targets; not null
   */
  public MoveExecutor(HolderContext context, TargetWatch targets) {
    this.context = context;
    this.targets = targets;
  }

  /**
   * Takes a table that was issued; moves that it continues keep their progress.
   *
   * @param table the table; not null
   */
  public void onIssued(ShardTable table) {
    Map<Integer, ShardMove> before = new HashMap<>(moves);
    moves.clear();
    for (int shard = 0; shard < table.shardCount(); shard++) {
      if (!table.isMoving(shard)) {
        continue;
      }
      ShardMove known = before.get(shard);
      boolean continued = known != null && known.token == table.token(shard);
      moves.put(shard, continued ? known : moveOf(table, shard));
    }
  }

  /**
   * Records that everything older than the issued table is closed.
   *
   * @param grantsEndMs when the last grant under an older version has ended
   * @param nowMs the current time
   */
  public void onClosed(long grantsEndMs, long nowMs) {
    for (ShardMove move : moves.values()) {
      if (!move.closed) {
        move.closed = true;
        move.closedAtMs = nowMs;
        move.grantsEndMs = grantsEndMs;
      }
    }
  }

  /**
   * Takes the next steps.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    for (ShardMove move : moves.values()) {
      if (move.closed && !move.proved) {
        move.proved = isProvedWithoutAnswer(move, nowMs);
      }
    }
    sendRevocations(nowMs, true);
    sendRevocations(nowMs, false);
    sendGrants(nowMs);
  }

  /**
   * Tells whether a shard may be given yet another owner.
   *
   * @param shard the shard
   * @return false while its previous owner is not proved stopped
   */
  public boolean mayReassign(int shard) {
    ShardMove move = moves.get(shard);
    return move == null || move.proved;
  }

  /**
   * Tells whether a moving shard is open.
   *
   * @param shard the shard
   * @return true once its new owner holds its grant
   */
  public boolean isOpen(int shard) {
    ShardMove move = moves.get(shard);
    return move != null && move.granted;
  }

  /**
   * Returns the moving shards that are open.
   *
   * @return a new array
   */
  public int[] openShards() {
    return moves.values().stream().filter(m -> m.granted).mapToInt(m -> m.shard).toArray();
  }

  /**
   * Returns how many shards wait for their new owner.
   *
   * @return at least 0
   */
  public int waiting() {
    return (int) moves.values().stream().filter(move -> !move.granted).count();
  }

  private ShardMove moveOf(ShardTable table, int shard) {
    List<TargetId> names = table.targets();
    return new ShardMove(
        shard,
        table.token(shard),
        names.get(table.previousOwner(shard)),
        names.get(table.owner(shard)));
  }

  private boolean isProvedWithoutAnswer(ShardMove move, long nowMs) {
    if (move.from.equals(move.to) || !context.rules().proveStopped()) {
      return true;
    }
    boolean expires = targets.capability() == GrantCapability.CHECKS_TOKEN_AND_EXPIRY;
    boolean waitsForDrain = !targets.isLost(move.from) && !isDrainOver(move, nowMs);
    return expires && !waitsForDrain && nowMs >= move.grantsEndMs;
  }

  private boolean isDrainOver(ShardMove move, long nowMs) {
    return nowMs - move.closedAtMs >= context.timings().drainTimeoutMs();
  }

  private boolean wantsDrain(ShardMove move, long nowMs) {
    if (targets.capability() == GrantCapability.CHECKS_NOTHING) {
      return true;
    }
    return !targets.isLost(move.from) && !isDrainOver(move, nowMs);
  }

  private void sendRevocations(long nowMs, boolean drain) {
    Predicate<ShardMove> due =
        move ->
            move.closed
                && !move.proved
                && !move.revoking
                && nowMs >= move.retryAtMs
                && wantsDrain(move, nowMs) == drain;
    for (Map.Entry<TargetId, List<ShardMove>> each : group(due, move -> move.from).entrySet()) {
      List<ShardMove> batch = each.getValue();
      batch.forEach(move -> move.revoking = true);
      long[] below = batch.stream().mapToLong(move -> move.token - 1).toArray();
      context
          .outbox()
          .revoke(
              each.getKey(),
              shardsOf(batch),
              below,
              drain,
              nowMs,
              (reply, repliedAtMs) -> onRevoked(batch, reply, nowMs, repliedAtMs));
    }
  }

  private void onRevoked(List<ShardMove> batch, TargetReply reply, long sentAtMs, long nowMs) {
    targets.onReply(reply, sentAtMs, nowMs);
    boolean done = reply.outcome() == TargetOutcome.DONE;
    for (ShardMove move : batch) {
      move.revoking = false;
      move.retryAtMs = done ? nowMs : nowMs + context.timings().probeMs();
      move.proved |= done;
    }
  }

  private void sendGrants(long nowMs) {
    Predicate<ShardMove> due =
        move -> move.proved && !move.granted && !move.granting && nowMs >= move.retryAtMs;
    for (Map.Entry<TargetId, List<ShardMove>> each : group(due, move -> move.to).entrySet()) {
      List<ShardMove> batch = each.getValue();
      batch.forEach(move -> move.granting = true);
      long[] tokens = batch.stream().mapToLong(move -> move.token).toArray();
      context
          .outbox()
          .grant(
              each.getKey(),
              shardsOf(batch),
              tokens,
              nowMs,
              (reply, repliedAtMs) -> onGranted(batch, reply, nowMs, repliedAtMs));
    }
  }

  private void onGranted(List<ShardMove> batch, TargetReply reply, long sentAtMs, long nowMs) {
    targets.onReply(reply, sentAtMs, nowMs);
    // A late answer of a run that ended since says nothing about the present run.
    boolean done =
        reply.outcome() == TargetOutcome.DONE
            && reply.incarnation().equals(targets.incarnation(reply.target()));
    for (ShardMove move : batch) {
      move.granting = false;
      move.retryAtMs = done ? nowMs : nowMs + context.timings().probeMs();
      move.granted |= done;
    }
    if (reply.outcome() == TargetOutcome.REJECTED) {
      context.outbox().stateChanged("grantRejected", reply.target().value());
    }
  }

  private Map<TargetId, List<ShardMove>> group(
      Predicate<ShardMove> filter, Function<ShardMove, TargetId> key) {
    Map<TargetId, List<ShardMove>> groups = new LinkedHashMap<>();
    for (ShardMove move : moves.values()) {
      if (filter.test(move)) {
        groups.computeIfAbsent(key.apply(move), target -> new ArrayList<>()).add(move);
      }
    }
    return groups;
  }

  private static int[] shardsOf(List<ShardMove> batch) {
    return batch.stream().mapToInt(move -> move.shard).toArray();
  }
}
