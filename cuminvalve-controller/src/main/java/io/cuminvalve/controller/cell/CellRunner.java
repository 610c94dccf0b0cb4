package io.cuminvalve.controller.cell;

import io.cuminvalve.core.authority.CellStatus;
import io.cuminvalve.core.authority.ControllerCell;
import io.cuminvalve.core.authority.ControllerEffect;
import io.cuminvalve.core.authority.ControllerRole;
import io.cuminvalve.core.authority.PeerProbeOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.authority.TargetOutcome;
import io.cuminvalve.core.authority.TargetReply;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.ports.target.TargetHealth;
import io.cuminvalve.ports.target.TargetState;
import io.cuminvalve.wire.Reachability;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Feeds one {@link ControllerCell} with events and carries out what it asks for.
 *
 * <p>All methods run on the control thread; answers of the platform come back to it.
 *
 * @since 0.1
 */
public final class CellRunner {

  private final CellId id;
  private final ControllerCell cell;
  private final CellPorts ports;
  private final StoreEffects storeEffects;
  private final CellObserver observer;
  private final Map<TargetId, String> addresses = new HashMap<>();
  private final Map<TargetId, TargetHealth> health = new HashMap<>();
  private boolean stopped;

  /**
   * Creates a runner.
   *
   * @param id the cell; not null
   * @param cell its decisions; not null
   * @param ports what effects need; not null
   * @param observer learns of changes and outcomes; not null
   */
  public CellRunner(CellId id, ControllerCell cell, CellPorts ports, CellObserver observer) {
    this.id = id;
    this.cell = cell;
    this.ports = ports;
    this.observer = observer;
    this.storeEffects = new StoreEffects(ports, id, observer, this::onStoreReply);
  }

  /**
   * Returns the cell.
   *
   * @return never null
   */
  public CellId id() {
    return id;
  }

  /** Lets time pass. */
  public void tick() {
    if (!stopped) {
      apply(cell.onTick(nowMs()));
    }
  }

  /**
   * Takes a message of a peer.
   *
   * @param message the message; not null
   * @param peerAddress where it came from; not null
   */
  public void onMessage(PeerMessage message, String peerAddress) {
    if (!stopped) {
      apply(cell.onMessage(message, peerAddress, nowMs()));
    }
  }

  /**
   * Takes a configuration.
   *
   * @param configuration the configuration; not null
   * @param json the published document; not null
   */
  public void onConfiguration(Configuration configuration, byte[] json) {
    // Addresses of targets that left the inventory stay known: they may have to be revoked.
    configuration
        .inventory()
        .instances()
        .forEach(instance -> addresses.put(instance.id(), instance.address()));
    if (!stopped) {
      apply(cell.onConfiguration(configuration, json, nowMs()));
    }
  }

  /**
   * Takes the platform's word on which targets are leaving.
   *
   * @param leaving the targets; not null
   */
  public void onHostList(Set<TargetId> leaving) {
    if (!stopped) {
      apply(cell.onHostList(leaving, nowMs()));
    }
  }

  /**
   * Takes an operator's order to empty a target, or to end that.
   *
   * @param target the target; not null
   * @param cancel whether to end an earlier order
   */
  public void onDrain(TargetId target, boolean cancel) {
    if (!stopped) {
      long now = nowMs();
      apply(cancel ? cell.onDrainEnded(target, now) : cell.onDrainRequested(target, now));
    }
  }

  /**
   * Asks targets for their health, to learn which of them are draining by themselves.
   *
   * @param targets the targets; not null
   */
  public void pollHealth(List<TargetId> targets) {
    for (TargetId target : targets) {
      String address = addresses.get(target);
      if (address != null && !stopped) {
        ports.targets().health(address).thenAccept(answer -> handOverHealth(target, answer));
      }
    }
  }

  /**
   * Returns the last health that a target told.
   *
   * @param target the target; not null
   * @return empty if it told none
   */
  public Optional<TargetHealth> health(TargetId target) {
    return Optional.ofNullable(health.get(target));
  }

  /**
   * Returns what operators can see.
   *
   * @return a snapshot, never null
   */
  public CellStatus status() {
    return cell.status(nowMs());
  }

  /**
   * Tells whether this controller holds the term or is taking it.
   *
   * @return false while it waits
   */
  public boolean isLeading() {
    return !stopped && cell.status(nowMs()).role() != ControllerRole.STANDBY;
  }

  /**
   * Returns the name of the holder, as last read from the store.
   *
   * @return empty if unknown
   */
  public Optional<String> holderName() {
    return storeEffects.holderName();
  }

  /**
   * Stops deciding and gives up the term, so that another controller can take it at once.
   *
   * @return completes once the holder's key is deleted, or cannot be
   */
  public CompletableFuture<Void> release() {
    stopped = true;
    return storeEffects.releaseLease();
  }

  private void onStoreReply(StoreReply reply) {
    if (!stopped) {
      apply(cell.onStoreReply(reply, nowMs()));
    }
  }

  private void apply(List<ControllerEffect> effects) {
    for (ControllerEffect effect : effects) {
      if (!storeEffects.perform(effect)) {
        perform(effect);
      }
    }
  }

  private void perform(ControllerEffect effect) {
    if (effect instanceof ControllerEffect.Send send) {
      ports.network().send(send.peerAddress(), send.message());
    } else if (effect instanceof ControllerEffect.ProbePeer probe) {
      probePeer(probe.peerAddress());
    } else if (effect instanceof ControllerEffect.GrantShards grant) {
      grant(grant);
    } else if (effect instanceof ControllerEffect.RevokeShards revoke) {
      revoke(revoke);
    } else if (effect instanceof ControllerEffect.ProbeTarget probe) {
      probeTarget(probe);
    } else if (effect instanceof ControllerEffect.StateChanged change) {
      Logger.info("Cell {}: {} ({})", id, change.event(), change.detail());
      observer.onStateChanged(id, cell.status(nowMs()).issued(), change);
    }
  }

  private void probePeer(String address) {
    ports
        .network()
        .probe(address)
        .thenAccept(
            reachability ->
                ports.control().execute(() -> onPeerProbe(address, outcomeOf(reachability))));
  }

  private void onPeerProbe(String address, PeerProbeOutcome outcome) {
    if (!stopped) {
      apply(cell.onPeerProbe(address, outcome, nowMs()));
    }
  }

  private static PeerProbeOutcome outcomeOf(Reachability reachability) {
    return switch (reachability) {
      case CONNECTED, REJECTED -> PeerProbeOutcome.LISTENING;
      case REFUSED -> PeerProbeOutcome.REFUSED;
      default -> PeerProbeOutcome.SILENT;
    };
  }

  private void grant(ControllerEffect.GrantShards order) {
    callTarget(
        order.operationId(),
        order.target(),
        address ->
            ports
                .targets()
                .grant(address, order.shards(), order.tokens())
                .thenAccept(
                    reply -> handOver(order.operationId(), order.target(), "grant", reply)));
  }

  private void revoke(ControllerEffect.RevokeShards order) {
    callTarget(
        order.operationId(),
        order.target(),
        address ->
            ports
                .targets()
                .revoke(address, order.shards(), order.tokens(), order.drain())
                .thenAccept(
                    reply -> handOver(order.operationId(), order.target(), "revoke", reply)));
  }

  private void probeTarget(ControllerEffect.ProbeTarget probe) {
    callTarget(
        probe.operationId(),
        probe.target(),
        address ->
            ports
                .targets()
                .health(address)
                .thenAccept(
                    answer -> {
                      handOver(probe.operationId(), probe.target(), "probe", answer.reply());
                      handOverHealth(probe.target(), answer);
                    }));
  }

  private void callTarget(long operationId, TargetId target, Consumer<String> call) {
    String address = addresses.get(target);
    if (address == null) {
      replyUnknownTarget(operationId, target);
    } else {
      call.accept(address);
    }
  }

  /** A target that no configuration names has no address: nothing can be learnt of it. */
  private void replyUnknownTarget(long operationId, TargetId target) {
    TargetReply reply =
        new TargetReply(operationId, target, TargetOutcome.NO_ANSWER, Incarnation.UNKNOWN);
    ports.control().schedule(() -> onTargetReply(reply), ports.targetTimeoutMs());
  }

  private void handOver(
      long operationId,
      TargetId target,
      String order,
      io.cuminvalve.ports.target.TargetReply answer) {
    observer.onTargetOutcome(id, order, answer.outcome());
    TargetOutcome outcome =
        switch (answer.outcome()) {
          case DONE -> TargetOutcome.DONE;
          case STALE_TOKEN -> TargetOutcome.REJECTED;
          case CONNECTION_REFUSED -> TargetOutcome.CONNECTION_REFUSED;
          case NO_ANSWER -> TargetOutcome.NO_ANSWER;
        };
    TargetReply reply = new TargetReply(operationId, target, outcome, answer.incarnation());
    ports.control().execute(() -> onTargetReply(reply));
  }

  private void onTargetReply(TargetReply reply) {
    if (!stopped) {
      apply(cell.onTargetReply(reply, nowMs()));
    }
  }

  private void handOverHealth(TargetId target, TargetHealth answer) {
    ports.control().execute(() -> onHealth(target, answer));
  }

  private void onHealth(TargetId target, TargetHealth answer) {
    if (stopped || answer.state().isEmpty()) {
      return;
    }
    TargetHealth before = health.put(target, answer);
    boolean draining = isDraining(answer);
    boolean wasDraining = before != null && isDraining(before);
    if (draining != wasDraining) {
      onDrain(target, !draining);
    }
  }

  private static boolean isDraining(TargetHealth health) {
    return health.state().equals(Optional.of(TargetState.DRAINING));
  }

  private long nowMs() {
    return ports.clock().nowMs();
  }
}
