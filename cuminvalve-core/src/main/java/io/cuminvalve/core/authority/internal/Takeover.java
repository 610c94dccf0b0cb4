package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.authority.StoredTable;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.RouterHints;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Finds out, for a new holder, which table is the newest that may be in force.
 *
 * <p>It reads the stored table and proves by two rounds that a majority of witnesses has seen its
 * term and refuses tables of lower ones. The newest version among their replies may be an
 * activation of the old holder that the store does not know; then that table is fetched from a
 * router. Should the old holder write once more meanwhile, the compare-and-swap of the first write
 * under the new term fails, and the takeover starts over.
 *
 * <p>If a majority of a witness set restarted at the same time they cannot learn from one another,
 * and an activation may be forgotten. Once this is proved, and every lease has lapsed, the stored
 * table is taken with every standby under suspicion.
 *
 * @since 0.1
 */
public final class Takeover {

  private static final int FETCH_HEARTBEATS = 10;

  private final HolderContext context;
  private final TableWriter writer;
  private final RoundCounter rounds;
  private final Runnable onDeposed;
  private final Adoption adoption;

  private StoredTable stored;
  private boolean inFlight;
  private long retryAtMs = Long.MIN_VALUE;
  private TwoRoundQuorum fence;
  private List<TwoRoundQuorum> forgetful;
  private TableVersion newestReply = TableVersion.NONE;
  private String newestAddress = "";
  private TableVersion fetching;
  private long fetchStartedMs;
  private boolean distrust;
  private boolean done;

  /**
   * Takes the result.
   *
   * @since 0.1
   */
  @FunctionalInterface
  public interface Adoption {

    /**
     * Takes the table that may be in force.
     *
     * @param table the table; null if the cell has none yet
     * @param distrust whether an unseen activation may have taken effect
     * @param nowMs the current time
     */
    void adopt(ShardTable table, boolean distrust, long nowMs);
  }

  /**
   * Creates a takeover.
   *
   * @param context the holder; not null
   * @param writer writes the table key; not null
   * @param rounds numbers the heartbeats; not null
   * @param onDeposed called when the store shows a newer term; not null
   * @param adoption takes the result; not null
   */
  public Takeover(
      HolderContext context,
      TableWriter writer,
      RoundCounter rounds,
      Runnable onDeposed,
      Adoption adoption) {
    this.context = context;
    this.writer = writer;
    this.rounds = rounds;
    this.onDeposed = onDeposed;
    this.adoption = adoption;
  }

  /**
   * Returns the routers that heartbeats go to.
   *
   * @return empty until the stored table is read
   */
  public List<RegisteredRouter> routers() {
    return fence == null ? List.of() : stored.table().routers();
  }

  /**
   * Answers a router that has no table and may need one to learn. The stored table is not handed
   * out: whether it was ever issued is not known yet.
   *
   * @param to the address of the router; not null
   */
  public void hint(String to) {
    if (fence != null) {
      List<String> addresses =
          stored.table().routers().stream().map(RegisteredRouter::peerAddress).toList();
      context.outbox().send(to, new RouterHints(context.cell(), addresses));
    }
  }

  /**
   * Tells whether a heartbeat sent now would bring the takeover forward.
   *
   * @return true between the rounds
   */
  public boolean awaitsSecondRound() {
    return fence != null && fence.isReached() && !fence.isComplete();
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    if (stored == null && !done && !inFlight && nowMs >= retryAtMs) {
      inFlight = true;
      context.outbox().read(StoreKeys.table(context.cell()), nowMs, this::onRead);
    }
    if (fence != null && !done) {
      fence.tick(nowMs);
      forgetful.forEach(quorum -> quorum.tick(nowMs));
      advance(nowMs);
    }
  }

  /**
   * Takes a heartbeat reply into account.
   *
   * @param reply the reply; not null
   * @param from the address of the router; not null
   * @param nowMs the current time
   */
  public void onReply(HeartbeatReply reply, String from, long nowMs) {
    if (fence == null || done || reply.term() != context.term()) {
      return;
    }
    if (reply.version().isNewerThan(newestReply) && reply.learned()) {
      newestReply = reply.version();
      newestAddress = from;
    }
    fence.onReply(reply, nowMs);
    forgetful.forEach(quorum -> quorum.onReply(reply, nowMs));
    advance(nowMs);
  }

  /**
   * Takes a table that a router sent.
   *
   * @param push the table; not null
   * @param nowMs the current time
   */
  public void onTable(TablePush push, long nowMs) {
    if (!done && fetching != null && push.table().version().equals(fetching)) {
      finish(push.table(), nowMs);
    }
  }

  private void onRead(StoreReply reply, long nowMs) {
    inFlight = false;
    if (reply.outcome() != StoreOutcome.DONE) {
      retryAtMs = nowMs + context.timings().heartbeatMs();
      return;
    }
    writer.setRevision(reply.revision());
    if (reply.revision() == 0) {
      finish(null, nowMs);
      return;
    }
    stored = context.codec().decodeTable(reply.value());
    if (stored.table().version().term() > context.term()) {
      onDeposed.run();
    } else {
      startFence();
    }
  }

  private void startFence() {
    Set<RouterId> witnesses = Set.copyOf(stored.table().witnesses());
    Set<RouterId> previous = Set.copyOf(stored.table().previousWitnesses());
    List<Set<RouterId>> sets = List.of(witnesses, previous);
    long term = context.term();
    fence =
        new TwoRoundQuorum(sets, reply -> reply.learned() && reply.term() == term, rounds, context);
    forgetful = new ArrayList<>();
    for (Set<RouterId> set : sets) {
      if (!set.isEmpty()) {
        forgetful.add(
            new TwoRoundQuorum(
                List.of(set), reply -> !reply.learned() && reply.term() == term, rounds, context));
      }
    }
  }

  private void advance(long nowMs) {
    if (fetching != null) {
      if (nowMs - fetchStartedMs >= FETCH_HEARTBEATS * context.timings().heartbeatMs()) {
        // Whoever had that table is gone. If it was in force, others of a new majority have it.
        fetching = null;
        newestReply = TableVersion.NONE;
        startFence();
      }
      return;
    }
    if (fence.isComplete()) {
      adoptNewest(nowMs);
    } else if (haveForgotten(nowMs)) {
      distrust = true;
      context.outbox().stateChanged("witnessesForgot", stored.table().version().toString());
      adoptNewest(nowMs);
    }
  }

  private boolean haveForgotten(long nowMs) {
    long lapseMs = context.timings().routeLeaseMs() + context.marginMs();
    return forgetful.stream()
        .anyMatch(quorum -> quorum.isComplete() && nowMs >= quorum.reachedAtMs() + lapseMs);
  }

  private void adoptNewest(long nowMs) {
    TableVersion own = stored.table().version();
    TableVersion since = context.rules().respectBase() ? stored.base() : own;
    boolean storedIsNewest = newestReply.equals(own) || !newestReply.isNewerThan(since);
    if (storedIsNewest) {
      finish(stored.table(), nowMs);
      return;
    }
    fetching = newestReply;
    fetchStartedMs = nowMs;
    context.outbox().send(newestAddress, new TableRequest(context.cell(), TableVersion.NONE));
  }

  private void finish(ShardTable table, long nowMs) {
    done = true;
    adoption.adopt(table, distrust, nowMs);
  }
}
