package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.UpperTime;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * The newest {@link RoutingSnapshot}. Changed by the control thread, read by all.
 *
 * @since 0.2
 */
public final class RoutingState {

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile RoutingSnapshot snapshot;
  private volatile UpperTime targetsConfirmed = UpperTime.NEVER;
  private volatile OptionalLong movesBlockedSinceMs = OptionalLong.empty();
  private volatile Supplier<UpperTime> configurationConfirmed = () -> UpperTime.NEVER;
  private volatile LongSupplier configurationMaxAgeMs = () -> 0;
  private volatile BooleanSupplier storeSilent = () -> false;

  /**
   * Creates the state of a process that knows nothing.
   *
   * @param processes how many gateways are assumed to run
   */
  public RoutingState(int processes) {
    this.snapshot = RoutingSnapshot.initial(processes);
  }

  /**
   * Returns the newest snapshot.
   *
   * @return never null
   */
  public RoutingSnapshot current() {
    return snapshot;
  }

  /**
   * Replaces the snapshot and tells the listeners. For the control thread only.
   *
   * @param change makes the next snapshot from the last one; not null
   */
  public void update(UnaryOperator<RoutingSnapshot> change) {
    snapshot = change.apply(snapshot);
    listeners.forEach(Runnable::run);
  }

  /**
   * Notes that the targets known were those of the registry at a time.
   *
   * @param at the time; not null
   */
  public void confirmTargets(UpperTime at) {
    targetsConfirmed = at;
  }

  /**
   * Returns when the targets known were last those of the registry.
   *
   * @return {@link UpperTime#NEVER} if they never were; never null
   */
  public UpperTime targetsConfirmed() {
    return targetsConfirmed;
  }

  /**
   * Sets who knows how old the configuration is and whether the store answers this process.
   *
   * @param confirmed returns when the configuration known was last the newest one; for any thread;
   *     not null
   * @param maxAgeMs returns for how long the configuration may go without that; milliseconds; for
   *     any thread; not null
   * @param silent tells whether the store has refused, or left without an answer, what this process
   *     asked last; for any thread; not null
   */
  public void watch(Supplier<UpperTime> confirmed, LongSupplier maxAgeMs, BooleanSupplier silent) {
    configurationConfirmed = confirmed;
    configurationMaxAgeMs = maxAgeMs;
    storeSilent = silent;
  }

  /**
   * Returns when the configuration known was last the newest one.
   *
   * @return {@link UpperTime#NEVER} if it never was; never null
   */
  public UpperTime configurationConfirmed() {
    return configurationConfirmed.get();
  }

  /**
   * Returns for how long the configuration may go without being confirmed.
   *
   * @return milliseconds
   */
  public long configurationMaxAgeMs() {
    return configurationMaxAgeMs.getAsLong();
  }

  /**
   * Tells whether the configuration known has to be the newest one, as far as the store answers.
   *
   * @param now the time; not null
   * @return false if a newer one may have to be in force
   */
  public boolean isConfigurationCurrent(UpperTime now) {
    return now.sinceMs(configurationConfirmed()) <= configurationMaxAgeMs() || isStoreSilent();
  }

  /**
   * Tells whether the store has refused, or left without an answer, what this process asked last.
   *
   * @return false also if nothing was asked
   */
  public boolean isStoreSilent() {
    return storeSilent.getAsBoolean();
  }

  /**
   * Notes whether keys can move: a move has to be written in the store first.
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
   * Returns since when no key can move.
   *
   * @return a time of the clock, milliseconds; empty if keys can move
   */
  public OptionalLong movesBlockedSinceMs() {
    return movesBlockedSinceMs;
  }

  /**
   * Adds a listener, which is called on the control thread after each change.
   *
   * @param listener must not block; not null
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
