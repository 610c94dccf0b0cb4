package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Replicates one kind of state to all gateways.
 *
 * <p>A gateway that observes a change sends it to the holder of the term and its deputies, and the
 * holder sends it to all gateways, so that the loss of any of them loses no state. Each hello
 * carries a digest of the state of its sender. A receiver with a different digest replies with its
 * complete state and is sent the entries that it lacks. Confined to the control thread.
 *
 * @param <N> the message that carries the state
 */
final class StateExchange<N extends FleetMessage> {

  /**
   * The state of this process.
   *
   * @param <N> the message that carries the state
   */
  interface LocalState<N> {

    /** Returns a digest of the state, to compare it with that of another process. */
    long digest();

    /** Returns the complete state, marked as complete. */
    N complete();

    /** Returns the entries missing from the complete state of another process; empty if none. */
    Optional<N> missingFrom(N received);
  }

  private final LocalState<N> localState;
  private final FleetMessenger peers;
  private Optional<String> holder = Optional.empty();
  private Set<String> holderAndDeputies = Set.of();

  StateExchange(LocalState<N> localState, FleetMessenger peers) {
    this.localState = localState;
    this.peers = peers;
  }

  /**
   * Sets the addresses of the holder, empty if it is this gateway, and of its deputies.
   *
   * @return the addresses that were neither before; never null
   */
  Set<String> onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    holder = holderAddress;
    Set<String> current = new LinkedHashSet<>(deputies);
    holderAddress.ifPresent(current::add);
    Set<String> added = new LinkedHashSet<>(current);
    added.removeAll(holderAndDeputies);
    holderAndDeputies = current;
    return added;
  }

  /** Sends an update to the holder, unless it is this gateway, and to its deputies. */
  void sendToHolderAndDeputies(N update) {
    holderAndDeputies.forEach(address -> peers.tell(address, update));
  }

  /** Sends a message to the holder, unless it is this gateway. */
  void sendToHolder(FleetMessage message) {
    holder.ifPresent(address -> peers.tell(address, message));
  }

  /** Processes the digest in the hello of another process. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    if (digest != localState.digest()) {
      sender.accept(localState.complete());
    }
  }

  /** Processes the complete state of another process. */
  void onComplete(N received, Consumer<FleetMessage> sender) {
    localState.missingFrom(received).ifPresent(sender);
  }
}
