package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.DepartureReport;
import io.cuminvalve.core.fleet.DepartureTracker;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.DepartureUpdate;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Replicates which targets have announced in a response that they are leaving.
 *
 * <p>The first gateway that receives the announcement informs all others by a {@link
 * StateExchange}, because the registry may report it much later or never. Confined to the control
 * thread.
 */
final class DepartureCoordinator implements StateExchange.LocalState<DepartureUpdate> {

  private final DepartureTracker tracker = new DepartureTracker();
  private final FleetMessenger peers;
  private final StateExchange<DepartureUpdate> exchange;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Consumer<Set<TargetId>> onChange;

  /**
   * Creates a coordinator without departures.
   *
   * @param peers the other gateways; a message to all reaches only followers of the holder; not
   *     null
   * @param clock the time; not null
   * @param log the decision log; not null
   * @param onChange receives all leaving targets after each change; not null
   */
  DepartureCoordinator(
      FleetMessenger peers, MillisClock clock, DecisionLog log, Consumer<Set<TargetId>> onChange) {
    this.peers = peers;
    this.exchange = new StateExchange<>(this, peers);
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
  }

  /** Processes a departure that a target announced to this gateway. */
  void onSeen(TargetId target) {
    if (tracker.add(target, clock.nowMs())) {
      log.write("target_leaving", "target={} source=answer", target);
      applyChanges(List.of(target));
      exchange.sendToHolderAndDeputies(updateOf(List.of(target)));
    }
  }

  /** Processes departures sent by another process. */
  void onUpdate(DepartureUpdate update, Consumer<FleetMessage> sender) {
    Set<TargetId> learned = new HashSet<>();
    for (DepartureReport report : update.reports()) {
      if (tracker.merge(report, clock.nowMs())) {
        learned.add(report.target());
        log.write("target_leaving", "target={} source=heard", report.target());
      }
    }
    if (!learned.isEmpty()) {
      applyChanges(learned);
    }
    if (update.complete()) {
      exchange.onComplete(update, sender);
    }
  }

  /** Applies changes and sends them to followers; only the holder of the term has followers. */
  private void applyChanges(Collection<TargetId> changed) {
    onChange.accept(tracker.targets());
    peers.sendToFollowers(updateOf(changed));
  }

  private DepartureUpdate updateOf(Collection<TargetId> targets) {
    return new DepartureUpdate(false, tracker.reports(targets, clock.nowMs()));
  }

  /** Processes the digest of departures in the hello of another process. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    exchange.onDigest(digest, sender);
  }

  /** Sets the addresses of the holder, empty if it is this gateway, and of its deputies. */
  void onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    exchange.onHolderAndDeputies(holderAddress, deputies);
  }

  /** Removes departures of targets that have not been registered for a long time. */
  void forget(Predicate<TargetId> registered) {
    if (tracker.forget(registered, clock.nowMs())) {
      onChange.accept(tracker.targets());
    }
  }

  @Override
  public long digest() {
    return tracker.digest();
  }

  @Override
  public DepartureUpdate complete() {
    return new DepartureUpdate(true, tracker.reports(tracker.targets(), clock.nowMs()));
  }

  @Override
  public Optional<DepartureUpdate> missingFrom(DepartureUpdate received) {
    Set<TargetId> missing = new HashSet<>(tracker.targets());
    received.reports().forEach(report -> missing.remove(report.target()));
    return missing.isEmpty() ? Optional.empty() : Optional.of(updateOf(missing));
  }
}
