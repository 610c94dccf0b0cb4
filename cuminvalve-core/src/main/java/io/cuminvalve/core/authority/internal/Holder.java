package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoredTable;
import io.cuminvalve.core.authority.TermRecord;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.placement.PlacementPlanner;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.HolderLearnRequest;
import io.cuminvalve.core.protocol.LoadReport;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.protocol.RouterLeave;
import io.cuminvalve.core.protocol.RouterLeft;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The work of a controller while it holds the term of a cell.
 *
 * @since 0.1
 */
public final class Holder {

  private static final int ACTIVATE_AFTER_HEARTBEATS = 2;

  private final HolderContext context;
  private final Runnable onDeposed;
  private final RouterReports reports = new RouterReports();
  private final MoveLog log = new MoveLog();
  private final OrderPermit permit;
  private final Beats beats;
  private final RoundCounter rounds;
  private final TableWriter writer;
  private final Takeover takeover;
  private final TargetWatch targets;
  private final MoveExecutor moves;
  private final GrantKeeper grants;
  private final RouterRoster roster;
  private final TablePlanning planning;
  private final LearnDesk learnDesk;
  private final HolderLease lease;
  private final OpenAnnouncer announcer;

  private ShardTable adopted;
  private boolean distrust;
  private boolean empty;
  private ShardTable issued;
  private ClosingTracker closing;
  private boolean closedNoted;
  private boolean secondRoundSent;
  private long lastSequence;
  private long configRevision;

  /**
   * Creates a holder that has just taken the term.
   *
   * @param context what its parts have in common; not null
   * @param planner decides owners and standbys; not null
   * @param isOwnTerm tells whether a term record is this run's own; not null
   * @param onDeposed called when a newer term shows up; not null
   * @param nowMs the current time
   */
  public Holder(
      HolderContext context,
      PlacementPlanner planner,
      Predicate<TermRecord> isOwnTerm,
      Runnable onDeposed,
      long nowMs) {
    this.context = context;
    this.onDeposed = onDeposed;
    this.rounds = new RoundCounter(context.term());
    this.permit = new OrderPermit(context);
    this.beats = new Beats(context, rounds, permit);
    this.writer = new TableWriter(context, onDeposed);
    this.takeover = new Takeover(context, writer, rounds, onDeposed, this::onAdopted);
    this.targets = new TargetWatch(context, nowMs);
    this.moves = new MoveExecutor(context, targets);
    this.grants = new GrantKeeper(context, targets, moves);
    this.roster = new RouterRoster(context, reports, nowMs);
    this.planning = new TablePlanning(context, planner, targets, moves, roster);
    this.lease = new HolderLease(context);
    this.announcer = new OpenAnnouncer(context);
    this.learnDesk =
        new LearnDesk(
            context,
            value -> isOwnTerm.test(context.codec().decodeTerm(value)),
            () -> issued == null ? null : issued.version());
  }

  /**
   * Takes a configuration.
   *
   * @param revision its revision
   * @param service the service of the cell; not null
   * @param instances its instances; not null
   * @param nowMs the current time
   */
  public void onConfiguration(
      long revision, Service service, List<Instance> instances, long nowMs) {
    configRevision = revision;
    targets.onConfiguration(service, instances, nowMs);
  }

  /**
   * Takes the targets that are to be emptied.
   *
   * @param draining the targets; not null
   * @param nowMs the current time
   */
  public void onDraining(Set<TargetId> draining, long nowMs) {
    targets.onDraining(draining, nowMs);
  }

  /**
   * Takes a message.
   *
   * @param message the message; not null
   * @param from the address of the sender; not null
   * @param nowMs the current time
   */
  public void onMessage(PeerMessage message, String from, long nowMs) {
    if (message instanceof HeartbeatReply reply) {
      onReply(reply, from, nowMs);
    } else if (message instanceof RouterHello hello) {
      roster.onHello(hello, nowMs);
      pushTable(from, TableVersion.NONE);
    } else if (message instanceof RouterLeave leave) {
      onLeave(leave, from);
    } else if (message instanceof TableRequest request) {
      pushTable(from, request.known());
    } else if (message instanceof HolderLearnRequest request) {
      learnDesk.onRequest(request, from, nowMs);
    } else if (message instanceof LoadReport report && issued != null) {
      planning.onLoad(report, issued.shardCount(), nowMs);
    } else if (message instanceof TablePush push) {
      takeover.onTable(push, nowMs);
    }
    step(nowMs);
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    lease.tick(nowMs);
    writer.tick(nowMs);
    targets.tick(nowMs);
    if (closing != null) {
      closing.tick(nowMs);
    }
    if (issued == null) {
      takeover.tick(nowMs);
    }
    step(nowMs);
    if (beats.isDue(nowMs)) {
      announcer.announce(issued, moves.openShards());
      sendHeartbeats(nowMs);
    }
  }

  /**
   * Takes whatever steps have become possible.
   *
   * @param nowMs the current time
   */
  public void step(long nowMs) {
    if (issued == null) {
      writeFirst(nowMs);
      if (takeover.awaitsSecondRound() && !secondRoundSent) {
        secondRoundSent = true;
        sendHeartbeats(nowMs);
      }
      return;
    }
    stepClosing(nowMs);
    if (permit.isValid(issued, targets.capability(), nowMs)) {
      moves.tick(nowMs);
      grants.tick(issued, nowMs);
    }
    announcer.announceNew(issued, moves.openShards());
    writeNext(nowMs);
    activateStandbys(nowMs);
  }

  /**
   * Returns the issued table.
   *
   * @return null until the takeover has ended
   */
  public ShardTable issued() {
    return issued;
  }

  /**
   * Tells whether everything older than the issued table is closed.
   *
   * @return false until the takeover has ended
   */
  public boolean isClosed() {
    return closing != null && closing.isClosed();
  }

  /**
   * Returns what routers reported.
   *
   * @return never null
   */
  public RouterReports reports() {
    return reports;
  }

  /**
   * Returns what is known of targets.
   *
   * @return never null
   */
  public TargetWatch targets() {
    return targets;
  }

  /**
   * Returns the moving shards.
   *
   * @return never null
   */
  public MoveExecutor moves() {
    return moves;
  }

  /**
   * Returns the most recent moves.
   *
   * @return never null
   */
  public MoveLog log() {
    return log;
  }

  /**
   * Tells whether a write has an unknown outcome.
   *
   * @return true until it is resolved
   */
  public boolean isStoreUnknown() {
    return writer.isUnknown();
  }

  private void onReply(HeartbeatReply reply, String from, long nowMs) {
    if (reply.term() > context.term()) {
      onDeposed.run();
      return;
    }
    permit.onReply(reply);
    reports.add(reply, nowMs);
    targets.onObservations(reply.router(), reply.observations(), nowMs);
    if (issued == null) {
      takeover.onReply(reply, from, nowMs);
    } else {
      closing.onReply(reply, nowMs);
    }
  }

  private void onLeave(RouterLeave leave, String from) {
    if (issued == null) {
      return;
    }
    boolean named = issued.routers().stream().anyMatch(r -> r.id().equals(leave.router()));
    if (named) {
      roster.onLeave(leave.router(), leave.incarnation());
    } else if (isClosed()) {
      context.outbox().send(from, new RouterLeft(context.cell(), leave.router()));
    }
  }

  private void onAdopted(ShardTable table, boolean distrustStandbys, long nowMs) {
    adopted = table;
    distrust = distrustStandbys;
    empty = table == null;
    permit.onAdopted(empty, nowMs);
    writeFirst(nowMs);
  }

  private void writeFirst(long nowMs) {
    boolean known = adopted != null || (empty && targets.service() != null);
    if (!known || !writer.isIdle()) {
      return;
    }
    ShardTable base = adopted;
    if (empty) {
      int shardCount = targets.service().shardCount();
      base = ShardTable.unassigned(context.cell(), shardCount, configRevision);
    }
    TableBuilder builder = new TableBuilder(base);
    if (distrust) {
      builder.distrustStandbys();
    }
    TableVersion version = new TableVersion(context.term(), 1, 0);
    ShardTable first = builder.build(version, configRevision);
    lastSequence = 1;
    writer.write(
        new StoredTable(base.version(), first), nowMs, writtenAtMs -> issue(first, writtenAtMs));
  }

  private void writeNext(long nowMs) {
    if (!writer.isIdle()) {
      return;
    }
    TableVersion version = new TableVersion(context.term(), lastSequence + 1, 0);
    ShardTable next = planning.next(issued, closing.isClosed(), version, configRevision, nowMs);
    if (next == null) {
      return;
    }
    lastSequence = version.sequence();
    ShardTable base = issued;
    PlacementPlan plan = planning.lastPlan();
    writer.write(
        new StoredTable(base.version(), next),
        nowMs,
        writtenAtMs -> onWritten(base, next, plan, writtenAtMs));
  }

  private void onWritten(ShardTable base, ShardTable next, PlacementPlan plan, long nowMs) {
    if (issued != base) {
      // A standby was activated meanwhile: this table must never be issued. Plan again from now.
      planning.replan();
      return;
    }
    log.add(base, next, plan, nowMs);
    issue(next, nowMs);
  }

  private void activateStandbys(long nowMs) {
    long patienceMs = ACTIVATE_AFTER_HEARTBEATS * context.timings().heartbeatMs();
    boolean storeOut = context.outbox().isStoreDown() || writer.pendingMs(nowMs) >= patienceMs;
    if (writer.isIdle() || !storeOut) {
      return;
    }
    ShardTable activation = planning.activation(issued, nowMs);
    if (activation != null) {
      context.outbox().stateChanged("standbysActivated", activation.version().toString());
      log.add(issued, activation, null, nowMs);
      issue(activation, nowMs);
    }
  }

  private void issue(ShardTable table, long nowMs) {
    issued = table;
    targets.watch(table.targets());
    moves.onIssued(table);
    closing = new ClosingTracker(table, rounds, context);
    closedNoted = false;
    secondRoundSent = false;
    TablePush push = new TablePush(context.cell(), table, moves.openShards());
    for (RegisteredRouter router : table.routers()) {
      context.outbox().send(router.peerAddress(), push);
    }
    sendHeartbeats(nowMs);
    closing.tick(nowMs);
    stepClosing(nowMs);
  }

  private void stepClosing(long nowMs) {
    if (closing.awaitsSecondRound() && !secondRoundSent) {
      secondRoundSent = true;
      sendHeartbeats(nowMs);
    }
    if (closing.isClosed() && !closedNoted) {
      closedNoted = true;
      moves.onClosed(closing.grantsEndMs(), nowMs);
    }
  }

  private void sendHeartbeats(long nowMs) {
    List<RegisteredRouter> routers = issued == null ? takeover.routers() : issued.routers();
    TableVersion version = issued == null ? TableVersion.NONE : issued.version();
    beats.send(routers, version, configRevision, nowMs);
  }

  private void pushTable(String to, TableVersion known) {
    if (issued == null) {
      takeover.hint(to);
    } else if (issued.version().isNewerThan(known)) {
      context.outbox().send(to, new TablePush(context.cell(), issued, moves.openShards()));
    }
  }
}
