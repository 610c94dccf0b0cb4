package io.cuminvalve.core.authority;

import io.cuminvalve.core.authority.internal.ConfigurationKeeper;
import io.cuminvalve.core.authority.internal.HolderLink;
import io.cuminvalve.core.authority.internal.InstalledTable;
import io.cuminvalve.core.authority.internal.Learner;
import io.cuminvalve.core.authority.internal.LearningDialogue;
import io.cuminvalve.core.authority.internal.LeaseKeeper;
import io.cuminvalve.core.authority.internal.ObservationLog;
import io.cuminvalve.core.authority.internal.RequestNumbers;
import io.cuminvalve.core.authority.internal.RouterOutbox;
import io.cuminvalve.core.authority.internal.SafetyRules;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;
import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.HolderLearnReply;
import io.cuminvalve.core.protocol.LearnReply;
import io.cuminvalve.core.protocol.LearnRequest;
import io.cuminvalve.core.protocol.LeaseReply;
import io.cuminvalve.core.protocol.LeaseRequest;
import io.cuminvalve.core.protocol.NotHolder;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.protocol.RouterHints;
import io.cuminvalve.core.protocol.RouterLeave;
import io.cuminvalve.core.protocol.RouterLeft;
import io.cuminvalve.core.protocol.ShardsOpened;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.protocol.TargetObservation;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;

/**
 * The authority decisions of one router for one cell.
 *
 * <p>All methods run on the router's control thread, apart from {@link #gate()}, whose object
 * traffic threads share.
 *
 * @since 0.1
 */
public final class RouterCell {

  private final RouterId self;
  private final Incarnation incarnation;
  private final DataCentreId dataCentre;
  private final String peerAddress;
  private final CellId cell;
  private final AuthorityTimings timings;
  private final SafetyRules rules;
  private final DispatchGate gate;
  private final InstalledTable installed;
  private final LeaseKeeper leases;
  private final Learner learner;
  private final HolderLink holder;
  private final ObservationLog observations = new ObservationLog();
  private final RouterOutbox outbox = new RouterOutbox();
  private final RequestNumbers numbers;
  private final LearningDialogue learning;
  private final ConfigurationKeeper configuration;

  private long startedAtMs = RoutingView.NEVER_MS;
  private long seenTerm;
  private boolean stopping;
  private boolean stopped;

  /**
   * Creates the cell of a router that has just started and knows nothing.
   *
   * @param router its identifier; not null
   * @param incarnation its current run, drawn at random; not null
   * @param dataCentre where it runs; not null
   * @param peerAddress its own peer address; not null
   * @param cell the cell; not null
   * @param timings the durations; not null
   */
  public RouterCell(
      RouterId router,
      Incarnation incarnation,
      DataCentreId dataCentre,
      String peerAddress,
      CellId cell,
      AuthorityTimings timings) {
    this(router, incarnation, dataCentre, peerAddress, cell, timings, SafetyRules.ALL);
  }

  RouterCell(
      RouterId router,
      Incarnation incarnation,
      DataCentreId dataCentre,
      String peerAddress,
      CellId cell,
      AuthorityTimings timings,
      SafetyRules rules) {
    this.self = router;
    this.incarnation = incarnation;
    this.dataCentre = dataCentre;
    this.peerAddress = peerAddress;
    this.cell = cell;
    this.timings = timings;
    this.rules = rules;
    this.gate = new DispatchGate(timings, rules);
    this.installed = new InstalledTable(rules);
    this.leases = new LeaseKeeper(timings.routeLeaseMs(), timings.leaseRenewMs());
    this.learner = new Learner(router, rules);
    this.holder = new HolderLink(timings.heartbeatMs());
    this.numbers = new RequestNumbers(incarnation);
    this.learning =
        new LearningDialogue(
            cell, router, timings.heartbeatMs(), installed, learner, holder, numbers, outbox);
    this.configuration = new ConfigurationKeeper(cell, outbox);
  }

  /**
   * Returns the gate through which traffic threads dispatch.
   *
   * @return never null, always the same
   */
  public DispatchGate gate() {
    return gate;
  }

  /**
   * Tells whether the router has caught up since its start.
   *
   * @return false until it may dispatch and confirm leases
   */
  public boolean isLearned() {
    return learner.isLearned();
  }

  /**
   * Returns the installed table version.
   *
   * @return never null
   */
  public TableVersion version() {
    return installed.version();
  }

  /**
   * Lets time pass; to be called at least every 20 milliseconds.
   *
   * @param nowMs the current time
   * @return what to do
   */
  public List<RouterEffect> onTick(long nowMs) {
    noteStart(nowMs);
    if (holder.shouldFind(nowMs)) {
      outbox.add(new RouterEffect.FindHolder());
    }
    introduce(nowMs);
    learning.ask(nowMs);
    if (leases.isDue(nowMs)) {
      sendLeaseRequests(nowMs);
    }
    return outbox.drain();
  }

  /**
   * Takes a message of another process.
   *
   * @param message the message; not null
   * @param fromPeerAddress the peer address that the sender proved or announced; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<RouterEffect> onMessage(PeerMessage message, String fromPeerAddress, long nowMs) {
    noteStart(nowMs);
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(heartbeat, fromPeerAddress, nowMs);
    } else if (message instanceof TablePush push) {
      onTable(push, nowMs);
    } else if (message instanceof ShardsOpened opened) {
      if (installed.open(opened.version(), opened.shards(), opened.tokens())) {
        publish();
      }
    } else if (message instanceof LeaseRequest request) {
      onLeaseRequest(request, fromPeerAddress);
    } else if (message instanceof LeaseReply reply) {
      onLeaseReply(reply, fromPeerAddress);
    } else if (message instanceof LearnRequest request) {
      onLearnRequest(request, fromPeerAddress);
    } else {
      onOther(message, fromPeerAddress, nowMs);
    }
    return outbox.drain();
  }

  /**
   * Takes the answer to {@link RouterEffect.FindHolder}.
   *
   * @param holderAddress peer address of the holder, right or not, or of any other router or
   *     controller, which will know more; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<RouterEffect> onHolderAddress(String holderAddress, long nowMs) {
    noteStart(nowMs);
    if (holder.onSuggested(holderAddress)) {
      introduce(nowMs);
    }
    return outbox.drain();
  }

  /**
   * Records that a configuration is in force in this process.
   *
   * @param revision its revision
   * @param json the published document, to be handed to others on request; not null
   */
  public void onConfigurationInstalled(long revision, byte[] json) {
    configuration.onInstalled(revision, json);
  }

  /**
   * Records what this router saw of a target; sent with the next heartbeat reply.
   *
   * @param observation the latest observation of that target; not null
   */
  public void onObservation(TargetObservation observation) {
    observations.add(observation);
  }

  /**
   * Starts a planned stop, once no request is left: the router dispatches nothing more and leaves
   * the registered set; {@link RouterEffect.Stopped} follows. Until then it goes on confirming
   * leases.
   *
   * @param nowMs the current time
   * @return what to do
   */
  public List<RouterEffect> onStopRequested(long nowMs) {
    noteStart(nowMs);
    stopping = true;
    publish();
    introduce(nowMs);
    return outbox.drain();
  }

  private void noteStart(long nowMs) {
    if (startedAtMs == RoutingView.NEVER_MS) {
      startedAtMs = nowMs;
    }
  }

  private void onHeartbeat(Heartbeat heartbeat, String from, long nowMs) {
    boolean current = heartbeat.term() >= seenTerm;
    seenTerm = rules.fenceTerms() ? Math.max(seenTerm, heartbeat.term()) : heartbeat.term();
    if (current) {
      holder.onHeard(from, nowMs);
      learning.fetchIfNewer(heartbeat.version(), from);
      configuration.onSeen(heartbeat.configRevision(), from);
    }
    outbox.send(
        from,
        new HeartbeatReply(
            cell,
            self,
            incarnation,
            seenTerm,
            heartbeat.round(),
            learner.isLearned(),
            installed.version(),
            configuration.revision(),
            gate.grantsRemainingMs(nowMs, startedAtMs),
            current ? observations.drain() : List.of()));
  }

  private void onTable(TablePush push, long nowMs) {
    // Before it has learned, a router does not speak, so fencing is not its business yet.
    long lowestTerm = learner.isLearned() ? seenTerm : 0;
    final TableVersion before = installed.version();
    if (!installed.offer(push.table(), push.openShards(), lowestTerm)) {
      return;
    }
    if (!before.equals(installed.version())) {
      outbox.add(new RouterEffect.StateChanged("tableInstalled", installed.version().toString()));
    }
    publish();
    tryFinishLearning();
    if (leases.leaseEndMs() <= nowMs) {
      sendLeaseRequests(nowMs);
    }
  }

  private void onLeaseRequest(LeaseRequest request, String from) {
    boolean confirmed = learner.isLearned() && !installed.version().isNewerThan(request.version());
    outbox.send(from, new LeaseReply(cell, self, request.nonce(), confirmed, installed.version()));
  }

  private void onLeaseReply(LeaseReply reply, String from) {
    if (reply.confirmed()) {
      if (leases.onConfirmed(reply.nonce(), reply.witness())) {
        publish();
      }
    } else {
      learning.fetchIfNewer(reply.version(), from);
    }
  }

  private void onLearnRequest(LearnRequest request, String from) {
    outbox.send(
        from,
        new LearnReply(
            cell, self, request.nonce(), learner.isLearned(), seenTerm, installed.version()));
  }

  private void onOther(PeerMessage message, String from, long nowMs) {
    if (message instanceof LearnReply reply) {
      learning.onReply(reply, from);
      tryFinishLearning();
    } else if (message instanceof HolderLearnReply reply) {
      learning.onReply(reply, from);
      tryFinishLearning();
    } else if (message instanceof TableRequest request) {
      if (installed.version().isNewerThan(request.known())) {
        outbox.send(from, new TablePush(cell, installed.table(), installed.openMovingShards()));
      }
    } else if (message instanceof ConfigPush push) {
      configuration.onPush(push);
    } else if (message instanceof ConfigRequest request) {
      configuration.onRequest(request, from);
    } else if (message instanceof NotHolder hint) {
      if (holder.address().equals(from) && holder.onSuggested(hint.holderAddress())) {
        introduce(nowMs);
      }
    } else if (message instanceof RouterHints hints) {
      learning.onHints(hints);
    } else if (message instanceof RouterHello) {
      answerNewcomer(from);
    } else if (message instanceof RouterLeft left) {
      onLeft(left);
    }
  }

  private void answerNewcomer(String from) {
    outbox.send(from, new NotHolder(cell, holder.address()));
    if (installed.table() != null) {
      outbox.send(from, new TablePush(cell, installed.table(), installed.openMovingShards()));
    }
  }

  private void onLeft(RouterLeft left) {
    if (stopping && !stopped && left.router().equals(self)) {
      stopped = true;
      outbox.add(new RouterEffect.Stopped());
    }
  }

  private void tryFinishLearning() {
    long term = learner.tryFinish(installed.table());
    if (term >= 0) {
      seenTerm = Math.max(seenTerm, term);
      outbox.add(new RouterEffect.StateChanged("learned", installed.version().toString()));
      publish();
    }
  }

  private void introduce(long nowMs) {
    if (stopping) {
      if (!stopped && holder.shouldIntroduce(nowMs)) {
        outbox.send(holder.address(), new RouterLeave(cell, self, incarnation));
      }
      return;
    }
    RegisteredRouter entry = installed.router(self);
    boolean registered = entry != null && entry.peerAddress().equals(peerAddress);
    if (!registered && holder.shouldIntroduce(nowMs)) {
      outbox.send(
          holder.address(), new RouterHello(cell, self, incarnation, dataCentre, peerAddress));
    }
  }

  private void sendLeaseRequests(long nowMs) {
    ShardTable table = installed.table();
    if (table == null || !learner.isLearned() || stopping || installed.router(self) == null) {
      return;
    }
    long number = numbers.next();
    leases.onSent(number, table, nowMs);
    for (RegisteredRouter witness : installed.witnessesApartFrom(self)) {
      outbox.send(witness.peerAddress(), new LeaseRequest(cell, self, number, table.version()));
    }
    if (installed.router(self).witness() && leases.onConfirmed(number, self)) {
      publish();
    }
  }

  private void publish() {
    boolean mayDispatch = learner.isLearned() && !stopping && installed.router(self) != null;
    RoutingView view = installed.view(mayDispatch ? leases.leaseEndMs() : RoutingView.NEVER_MS);
    gate.publish(view);
    outbox.add(new RouterEffect.ViewChanged(view));
  }
}
