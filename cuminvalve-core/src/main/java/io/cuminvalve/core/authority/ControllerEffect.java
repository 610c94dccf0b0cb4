package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.PeerMessage;

/**
 * What a {@link ControllerCell} asks its process to do.
 *
 * <p>Effects with an operation id are answered with a reply of the same id. A process that cannot
 * tell whether a write took effect answers UNKNOWN; it never guesses.
 *
 * @since 0.1
 */
public sealed interface ControllerEffect {

  /**
   * Read a key of the store.
   *
   * @param operationId pairs the reply
   * @param key the key; not null
   * @since 0.1
   */
  record StoreRead(long operationId, String key) implements ControllerEffect {}

  /**
   * Write a key of the store by compare-and-swap.
   *
   * @param operationId pairs the reply
   * @param key the key; not null
   * @param value the bytes; not null
   * @param expectedRevision the revision that must be there; 0 if the key must not exist
   * @param leaseId the lease that the key is tied to; empty if none
   * @since 0.1
   */
  record StoreWrite(
      long operationId, String key, byte[] value, long expectedRevision, String leaseId)
      implements ControllerEffect {}

  /**
   * Create a lease in the store.
   *
   * @param operationId pairs the reply, which carries the lease id
   * @param ttlMs its length
   * @since 0.1
   */
  record LeaseGrant(long operationId, long ttlMs) implements ControllerEffect {}

  /**
   * Keep a lease of the store alive.
   *
   * @param operationId pairs the reply; CONFLICT if the lease lapsed
   * @param leaseId the lease; not null
   * @since 0.1
   */
  record LeaseKeepAlive(long operationId, String leaseId) implements ControllerEffect {}

  /**
   * Wait for a change of a key.
   *
   * @param operationId pairs the reply, which is DONE with the value, or UNAVAILABLE when the wait
   *     ends; what it shows may be old
   * @param key the key; not null
   * @param afterRevision the revision that must be passed
   * @param waitMs longest wait
   * @since 0.1
   */
  record StoreWatch(long operationId, String key, long afterRevision, long waitMs)
      implements ControllerEffect {}

  /**
   * Send a message to another process; loss is tolerated.
   *
   * @param peerAddress IP address and port of its peer listener; not null
   * @param message the message; not null
   * @since 0.1
   */
  record Send(String peerAddress, PeerMessage message) implements ControllerEffect {}

  /**
   * Check whether a process listens at an address, and report it to {@link
   * ControllerCell#onPeerProbe}.
   *
   * @param peerAddress the address; not null
   * @since 0.1
   */
  record ProbePeer(String peerAddress) implements ControllerEffect {}

  /**
   * Give a target ownership of shards.
   *
   * @param operationId pairs the reply
   * @param target the target; not null
   * @param shards the shards; not null
   * @param tokens the fencing token of each; not null, same length
   * @since 0.1
   */
  record GrantShards(long operationId, TargetId target, int[] shards, long[] tokens)
      implements ControllerEffect {}

  /**
   * Take ownership of shards from a target.
   *
   * @param operationId pairs the reply
   * @param target the target; not null
   * @param shards the shards; not null
   * @param tokens the target must refuse these tokens and lower ones; not null, same length
   * @param drain whether the target is to answer only once requests in flight on them ended
   * @since 0.1
   */
  record RevokeShards(long operationId, TargetId target, int[] shards, long[] tokens, boolean drain)
      implements ControllerEffect {}

  /**
   * Ask a target for its health; any answer shows its incarnation.
   *
   * @param operationId pairs the reply
   * @param target the target; not null
   * @since 0.1
   */
  record ProbeTarget(long operationId, TargetId target) implements ControllerEffect {}

  /**
   * Log and count a change of state.
   *
   * @param event short constant name, such as {@code termTaken}; not null
   * @param detail for operators; not null
   * @since 0.1
   */
  record StateChanged(String event, String detail) implements ControllerEffect {}
}
