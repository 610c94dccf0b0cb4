package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.stop.ReadyPeers;
import io.cuminvalve.kernel.UpperTime;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * Holds the current {@link RoutingSnapshot}. Written by the control thread, read by any thread.
 *
 * @since 0.2
 */
public final class RoutingState {

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile RoutingSnapshot snapshot;
  private volatile UpperTime targetsConfirmed = UpperTime.NEVER;
  private volatile long evacuationGraceMs;
  private volatile OptionalLong movesBlockedSinceMs = OptionalLong.empty();
  private volatile Supplier<UpperTime> configurationConfirmed = () -> UpperTime.NEVER;
  private volatile LongSupplier configurationMaxAgeMs = () -> 0;
  private volatile BooleanSupplier storeSilent = () -> false;
  private volatile List<RelayPeer> relayPeers = List.of();
  private final ReadyPeers readyPeers = new ReadyPeers();
  private volatile UpperTime relayPeersHeard = UpperTime.NEVER;

  /**
   * Creates a state without configuration, targets and owners.
   *
   * @param processes the assumed number of gateways
   */
  public RoutingState(int processes) {
    this.snapshot = RoutingSnapshot.initial(processes);
  }

  /**
   * Returns the current snapshot.
   *
   * @return never null
   */
  public RoutingSnapshot current() {
    return snapshot;
  }

  /**
   * Replaces the snapshot and notifies the listeners. For the control thread only.
   *
   * @param change computes the next snapshot from the current one; not null
   */
  public void update(UnaryOperator<RoutingSnapshot> change) {
    snapshot = change.apply(snapshot);
    listeners.forEach(Runnable::run);
  }

  /**
   * Sets for how long the owners of keys in an evacuated data centre continue to get requests.
   *
   * @param graceMs counted from the earliest moment of the evacuation; milliseconds
   */
  public void setEvacuationGraceMs(long graceMs) {
    evacuationGraceMs = graceMs;
  }

  /**
   * Returns whether a target may get a request as far as evacuations are concerned.
   *
   * @param target the target; not null
   * @param ownsKey whether it is the owner of the request's key
   * @param now returns the current time, called only if its data centre is evacuated; not null
   * @return false if its data centre is evacuated
   */
  public boolean isDataCentreOpen(FleetTarget target, boolean ownsKey, Supplier<UpperTime> now) {
    Evacuations evacuations = snapshot.evacuations();
    return !evacuations.includes(target.dataCentre())
        || (ownsKey && evacuations.permitsOwner(target.dataCentre(), now.get(), evacuationGraceMs));
  }

  /**
   * Records that the known targets matched the registry at the given time.
   *
   * @param at the time; not null
   */
  public void confirmTargets(UpperTime at) {
    targetsConfirmed = at;
  }

  /**
   * Returns when the known targets last matched the registry.
   *
   * @return {@link UpperTime#NEVER} if they never did; never null
   */
  public UpperTime targetsConfirmed() {
    return targetsConfirmed;
  }

  /**
   * Sets the sources for the age of the configuration and the availability of the store.
   *
   * @param confirmed returns when the known configuration was last confirmed as the newest one;
   *     called on any thread; not null
   * @param maxAgeMs returns how long the configuration may go without confirmation; milliseconds;
   *     called on any thread; not null
   * @param silent returns whether the store refused or did not answer the last call of this
   *     process; called on any thread; not null
   */
  public void watch(Supplier<UpperTime> confirmed, LongSupplier maxAgeMs, BooleanSupplier silent) {
    configurationConfirmed = confirmed;
    configurationMaxAgeMs = maxAgeMs;
    storeSilent = silent;
  }

  /**
   * Returns when the known configuration was last confirmed as the newest one.
   *
   * @return {@link UpperTime#NEVER} if it never was; never null
   */
  public UpperTime configurationConfirmed() {
    return configurationConfirmed.get();
  }

  /**
   * Returns how long the configuration may go without confirmation.
   *
   * @return milliseconds
   */
  public long configurationMaxAgeMs() {
    return configurationMaxAgeMs.getAsLong();
  }

  /**
   * Returns whether the known configuration counts as the newest one. While the store is
   * unavailable it does, whatever its age, since it cannot be confirmed.
   *
   * @param now the time; not null
   * @return false if a newer configuration may be in force
   */
  public boolean isConfigurationCurrent(UpperTime now) {
    return now.sinceMs(configurationConfirmed()) <= configurationMaxAgeMs() || isStoreSilent();
  }

  /**
   * Returns whether the store refused or did not answer the last call of this process.
   *
   * @return false also if there was no call
   */
  public boolean isStoreSilent() {
    return storeSilent.getAsBoolean();
  }

  /**
   * Records whether keys can move. A move has to be written to the store first.
   *
   * @param possible whether the store answers the holder of the term
   * @param nowMs the time; milliseconds
   */
  public void setMovesPossible(boolean possible, long nowMs) {
    if (possible) {
      movesBlockedSinceMs = OptionalLong.empty();
    } else if (movesBlockedSinceMs.isEmpty()) {
      movesBlockedSinceMs = OptionalLong.of(nowMs);
    }
  }

  /**
   * Returns the time since which no key can move.
   *
   * @return a time of the clock, milliseconds; empty if keys can move
   */
  public OptionalLong movesBlockedSinceMs() {
    return movesBlockedSinceMs;
  }

  /**
   * Sets the gateways that can reach targets for this one.
   *
   * @param peers the gateways, this one not among them; not null
   * @param asOf the earliest time at which they were told; not null
   */
  public void setRelayPeers(List<RelayPeer> peers, UpperTime asOf) {
    relayPeers = List.copyOf(peers);
    relayPeersHeard = asOf;
    readyPeers.onTold(peers, asOf.ms());
  }

  /**
   * Returns the gateways that can reach targets for this one.
   *
   * @return in no particular order; empty if none is known; never null
   */
  public List<RelayPeer> relayPeers() {
    return relayPeers;
  }

  /**
   * Returns the gateways that were among {@link #relayPeers()} lately.
   *
   * @param since the time since which they were; not null
   * @return in no particular order; never null
   */
  public List<RelayPeer> relayPeersSince(UpperTime since) {
    return readyPeers.since(since.ms());
  }

  /**
   * Returns the time at which {@link #relayPeers()} was told, at the earliest.
   *
   * @return {@link UpperTime#NEVER} if none was told; never null
   */
  public UpperTime relayPeersHeard() {
    return relayPeersHeard;
  }

  /**
   * Adds a listener that is called on the control thread after each change.
   *
   * @param listener must not block; not null
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
