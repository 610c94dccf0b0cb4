package io.cuminvalve.core.authority;

import io.cuminvalve.core.authority.internal.Holder;
import io.cuminvalve.core.authority.internal.HolderContext;
import io.cuminvalve.core.authority.internal.Outbox;
import io.cuminvalve.core.authority.internal.SafetyRules;
import io.cuminvalve.core.authority.internal.TermKeeper;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.placement.PlacementPlanner;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;
import io.cuminvalve.core.protocol.HolderAlive;
import io.cuminvalve.core.protocol.HolderLearnRequest;
import io.cuminvalve.core.protocol.HolderProbe;
import io.cuminvalve.core.protocol.NotHolder;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.protocol.RouterLeave;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The authority decisions of one controller for one cell.
 *
 * <p>All methods run on the controller's control thread.
 *
 * @since 0.1
 */
public final class ControllerCell {

  private final CellId cell;
  private final AuthorityTimings timings;
  private final PlacementPlanner planner;
  private final TableCodec codec;
  private final SafetyRules rules;
  private final Outbox outbox;
  private final TermKeeper term;
  private final Set<TargetId> drainRequested = new HashSet<>();
  private Set<TargetId> leaving = Set.of();
  private Configuration configuration;
  private byte[] configJson = new byte[0];
  private Holder holder;
  private boolean deposed;

  /**
   * Creates the cell of a controller that has just started and knows nothing.
   *
   * @param controller its identifier; not null
   * @param incarnation its current run, drawn at random; not null
   * @param peerAddress its own peer address; not null
   * @param cell the cell; not null
   * @param timings the durations; not null
   * @param planner decides which target owns each shard; not null
   * @param codec encodes the records of the store; not null
   */
  public ControllerCell(
      ControllerId controller,
      Incarnation incarnation,
      String peerAddress,
      CellId cell,
      AuthorityTimings timings,
      PlacementPlanner planner,
      TableCodec codec) {
    this(controller, incarnation, peerAddress, cell, timings, planner, codec, SafetyRules.ALL);
  }

  ControllerCell(
      ControllerId controller,
      Incarnation incarnation,
      String peerAddress,
      CellId cell,
      AuthorityTimings timings,
      PlacementPlanner planner,
      TableCodec codec,
      SafetyRules rules) {
    this.cell = cell;
    this.timings = timings;
    this.planner = planner;
    this.codec = codec;
    this.rules = rules;
    this.outbox = new Outbox(timings);
    this.term = new TermKeeper(controller, incarnation, peerAddress, cell, timings, outbox, codec);
  }

  /**
   * Lets time pass; to be called at least every 20 milliseconds.
   *
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onTick(long nowMs) {
    outbox.expire(nowMs);
    term.tick(nowMs);
    followTerm(nowMs);
    if (holder != null) {
      holder.tick(nowMs);
    }
    return finish(nowMs);
  }

  /**
   * Takes a message of another process.
   *
   * @param message the message; not null
   * @param fromPeerAddress the peer address that the sender proved or announced; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onMessage(PeerMessage message, String fromPeerAddress, long nowMs) {
    if (message instanceof HolderProbe) {
      if (holder != null) {
        outbox.send(fromPeerAddress, new HolderAlive(cell, term.term()));
      }
    } else if (message instanceof HolderAlive alive) {
      term.onAlive(alive.term(), nowMs);
    } else if (message instanceof ConfigRequest request) {
      pushConfiguration(request.known(), fromPeerAddress);
    } else if (holder != null) {
      holder.onMessage(message, fromPeerAddress, nowMs);
    } else if (isForHolder(message)) {
      outbox.send(fromPeerAddress, new NotHolder(cell, term.holderAddress()));
    }
    return finish(nowMs);
  }

  /**
   * Takes the answer to a store effect.
   *
   * @param reply the answer; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onStoreReply(StoreReply reply, long nowMs) {
    outbox.onStoreReply(reply, nowMs);
    return finish(nowMs);
  }

  /**
   * Takes the answer to an order to a target or to a probe.
   *
   * @param reply the answer; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onTargetReply(TargetReply reply, long nowMs) {
    outbox.onTargetReply(reply, nowMs);
    return finish(nowMs);
  }

  /**
   * Takes the answer to {@link ControllerEffect.ProbePeer}.
   *
   * @param peerAddress the address; not null
   * @param outcome what the probe found; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onPeerProbe(
      String peerAddress, PeerProbeOutcome outcome, long nowMs) {
    term.onPeerProbe(peerAddress, outcome, nowMs);
    return finish(nowMs);
  }

  /**
   * Takes a configuration read from the store or from a peer; an older one than known is ignored.
   *
   * @param configuration the configuration; not null
   * @param json the published document that it was read from; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onConfiguration(
      Configuration configuration, byte[] json, long nowMs) {
    boolean newer =
        this.configuration == null || configuration.revision() > this.configuration.revision();
    if (newer) {
      this.configuration = configuration;
      configJson = json.clone();
      configureHolder(nowMs);
    }
    return finish(nowMs);
  }

  /**
   * Takes the platform's host list, a lagging hint: leaving targets are drained, absence alone
   * condemns nobody.
   *
   * @param leaving the targets that the list shows as leaving; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onHostList(Set<TargetId> leaving, long nowMs) {
    this.leaving = Set.copyOf(leaving);
    tellDraining(nowMs);
    return finish(nowMs);
  }

  /**
   * Takes an order to empty a target, or a target's own word that it is draining.
   *
   * @param target the target; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onDrainRequested(TargetId target, long nowMs) {
    drainRequested.add(target);
    tellDraining(nowMs);
    return finish(nowMs);
  }

  /**
   * Takes back an order to empty a target, such as once it is ready again.
   *
   * @param target the target; not null
   * @param nowMs the current time
   * @return what to do
   */
  public List<ControllerEffect> onDrainEnded(TargetId target, long nowMs) {
    drainRequested.remove(target);
    tellDraining(nowMs);
    return finish(nowMs);
  }

  /**
   * Returns what operators can see.
   *
   * @param nowMs the current time
   * @return an immutable snapshot
   */
  public CellStatus status(long nowMs) {
    ShardTable table = holder == null ? null : holder.issued();
    return new CellStatus(
        role(),
        term.term(),
        term.holderAddress(),
        table == null ? TableVersion.NONE : table.version(),
        holder != null && holder.isClosed(),
        configuration == null ? 0 : configuration.revision(),
        table,
        table == null ? List.of() : routerStatuses(table, nowMs),
        holder == null ? Map.of() : holder.targets().states(nowMs),
        holder == null ? 0 : holder.moves().waiting(),
        holder == null ? List.of() : holder.log().list(),
        holder != null && holder.isStoreUnknown());
  }

  private ControllerRole role() {
    if (holder == null) {
      return ControllerRole.STANDBY;
    }
    return holder.issued() == null ? ControllerRole.TAKING_OVER : ControllerRole.HOLDER;
  }

  private List<CellStatus.RouterStatus> routerStatuses(ShardTable table, long nowMs) {
    List<CellStatus.RouterStatus> statuses = new ArrayList<>();
    for (RegisteredRouter router : table.routers()) {
      statuses.add(holder.reports().status(router.id(), nowMs));
    }
    return statuses;
  }

  private static boolean isForHolder(PeerMessage message) {
    return message instanceof RouterHello
        || message instanceof RouterLeave
        || message instanceof TableRequest
        || message instanceof HolderLearnRequest;
  }

  private void pushConfiguration(long known, String to) {
    if (configuration != null && configuration.revision() > known) {
      outbox.send(to, new ConfigPush(cell, configuration.revision(), configJson));
    }
  }

  private void followTerm(long nowMs) {
    if (!term.isHeld() || holder != null) {
      return;
    }
    HolderContext context = new HolderContext(cell, term.term(), timings, rules, outbox, codec);
    holder = new Holder(context, planner, term::isOwn, () -> deposed = true, nowMs);
    configureHolder(nowMs);
    tellDraining(nowMs);
  }

  private void configureHolder(long nowMs) {
    if (holder == null || configuration == null) {
      return;
    }
    Inventory inventory = configuration.inventory();
    ServiceId id = new ServiceId(cell.value());
    Service service = inventory.service(id).orElse(null);
    if (service != null) {
      holder.onConfiguration(configuration.revision(), service, inventory.instancesOf(id), nowMs);
    }
  }

  private void tellDraining(long nowMs) {
    if (holder != null) {
      Set<TargetId> all = new HashSet<>(leaving);
      all.addAll(drainRequested);
      holder.onDraining(all, nowMs);
    }
  }

  private List<ControllerEffect> finish(long nowMs) {
    followTerm(nowMs);
    if (holder != null && !deposed) {
      holder.step(nowMs);
    }
    if (deposed) {
      deposed = false;
      holder = null;
      outbox.forget();
      outbox.stateChanged("termLost", "term " + term.term());
      term.stepDown(nowMs);
    }
    return outbox.drain();
  }
}
