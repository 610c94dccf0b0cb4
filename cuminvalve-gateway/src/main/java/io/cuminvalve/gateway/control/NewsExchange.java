package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.FleetMessage;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Lets all gateways know the same of one matter.
 *
 * <p>Whoever sees something tells the holder of the term and its deputies, and the holder
 * everybody, so that losing any of them loses nothing. Each hello says in short what its sender
 * knows. Whoever notices that it knows something else tells all of it, and is told in return what
 * it lacks. For the control thread.
 *
 * @param <N> the message that tells of the matter
 */
final class NewsExchange<N extends FleetMessage> {

  /**
   * What this process knows of the matter.
   *
   * @param <N> the message that tells of it
   */
  interface Knowledge<N> {

    /** Returns it in short, to compare it with that of another process. */
    long digest();

    /** Returns all of it, marked as complete. */
    N complete();

    /** Returns what a process lacks that has told all it knows; empty if nothing. */
    Optional<N> lackedBy(N told);
  }

  private final Knowledge<N> knowledge;
  private final FleetMessenger audience;
  private Optional<String> holder = Optional.empty();
  private Set<String> confidants = Set.of();

  NewsExchange(Knowledge<N> knowledge, FleetMessenger audience) {
    this.knowledge = knowledge;
    this.audience = audience;
  }

  /**
   * Takes who the holder, unless it is this gateway, and its deputies are.
   *
   * @return those that were neither before; never null
   */
  Set<String> onConfidants(Optional<String> holderAddress, Collection<String> deputies) {
    holder = holderAddress;
    Set<String> now = new LinkedHashSet<>(deputies);
    holderAddress.ifPresent(now::add);
    Set<String> added = new LinkedHashSet<>(now);
    added.removeAll(confidants);
    confidants = now;
    return added;
  }

  /** Tells the holder, unless it is this gateway, and its deputies. */
  void tellConfidants(N news) {
    confidants.forEach(address -> audience.tell(address, news));
  }

  /** Tells the holder, unless it is this gateway. */
  void tellHolder(FleetMessage message) {
    holder.ifPresent(address -> audience.tell(address, message));
  }

  /** Another process says hello, and in short what it knows. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    if (digest != knowledge.digest()) {
      sender.accept(knowledge.complete());
    }
  }

  /** Another process has told all that it knows. */
  void onComplete(N told, Consumer<FleetMessage> sender) {
    knowledge.lackedBy(told).ifPresent(sender);
  }
}
