package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.authority.ControllerEffect;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.authority.TargetOutcome;
import io.cuminvalve.core.authority.TargetReply;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the effects of a controller and pairs replies with their handlers.
 *
 * @since 0.1
 */
public final class Outbox {

  private static final StoreReply NO_REPLY = StoreReply.of(0, StoreOutcome.UNKNOWN, 0);

  private final AuthorityTimings timings;
  private final List<ControllerEffect> effects = new ArrayList<>();
  private final Map<Long, PendingStore> storeOperations = new HashMap<>();
  private final Map<Long, PendingTarget> targetOperations = new HashMap<>();
  private long lastOperationId;
  private boolean storeDown;

  /**
   * Creates an empty outbox.
   *
   * @param timings the durations; not null
   */
  public Outbox(AuthorityTimings timings) {
    this.timings = timings;
  }

  /**
   * Sends a message to another process.
   *
   * @param address its peer address; not null
   * @param message the message; not null
   */
  public void send(String address, PeerMessage message) {
    effects.add(new ControllerEffect.Send(address, message));
  }

  /**
   * Reports a change of state.
   *
   * @param event short constant name; not null
   * @param detail for operators; not null
   */
  public void stateChanged(String event, String detail) {
    effects.add(new ControllerEffect.StateChanged(event, detail));
  }

  /**
   * Checks whether a process listens at an address.
   *
   * @param address its peer address; not null
   */
  public void probePeer(String address) {
    effects.add(new ControllerEffect.ProbePeer(address));
  }

  /**
   * Reads a key of the store.
   *
   * @param key the key; not null
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void read(String key, long nowMs, StoreHandler handler) {
    effects.add(new ControllerEffect.StoreRead(storeOperation(nowMs, handler), key));
  }

  /**
   * Writes a key of the store by compare-and-swap.
   *
   * @param key the key; not null
   * @param value the bytes; not null
   * @param expectedRevision the revision that must be there; 0 if the key must not exist
   * @param leaseId the lease that the key is tied to; empty if none; not null
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void write(
      String key,
      byte[] value,
      long expectedRevision,
      String leaseId,
      long nowMs,
      StoreHandler handler) {
    long id = storeOperation(nowMs, handler);
    effects.add(new ControllerEffect.StoreWrite(id, key, value, expectedRevision, leaseId));
  }

  /**
   * Creates a lease in the store.
   *
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void grantLease(long nowMs, StoreHandler handler) {
    long id = storeOperation(nowMs, handler);
    effects.add(new ControllerEffect.LeaseGrant(id, timings.termLeaseMs()));
  }

  /**
   * Keeps a lease of the store alive.
   *
   * @param leaseId the lease; not null
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void keepAlive(String leaseId, long nowMs, StoreHandler handler) {
    effects.add(new ControllerEffect.LeaseKeepAlive(storeOperation(nowMs, handler), leaseId));
  }

  /**
   * Gives a target ownership of shards.
   *
   * @param target the target; not null
   * @param shards the shards; not null
   * @param tokens their tokens; not null
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void grant(
      TargetId target, int[] shards, long[] tokens, long nowMs, TargetHandler handler) {
    long id = targetOperation(target, nowMs + timings.targetTimeoutMs(), handler);
    effects.add(new ControllerEffect.GrantShards(id, target, shards, tokens));
  }

  /**
   * Takes ownership of shards from a target.
   *
   * @param target the target; not null
   * @param shards the shards; not null
   * @param tokens the target must refuse these tokens and lower ones; not null
   * @param drain whether it is to answer only once requests in flight ended
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void revoke(
      TargetId target,
      int[] shards,
      long[] tokens,
      boolean drain,
      long nowMs,
      TargetHandler handler) {
    long timeoutMs = drain ? timings.drainTimeoutMs() : timings.targetTimeoutMs();
    long id = targetOperation(target, nowMs + timeoutMs, handler);
    effects.add(new ControllerEffect.RevokeShards(id, target, shards, tokens, drain));
  }

  /**
   * Asks a target for its health.
   *
   * @param target the target; not null
   * @param nowMs the current time
   * @param handler takes the answer; not null
   */
  public void probe(TargetId target, long nowMs, TargetHandler handler) {
    long id = targetOperation(target, nowMs + timings.targetTimeoutMs(), handler);
    effects.add(new ControllerEffect.ProbeTarget(id, target));
  }

  /**
   * Hands a reply to its handler; a reply that comes too late is dropped.
   *
   * @param reply the reply; not null
   * @param nowMs the current time
   */
  public void onStoreReply(StoreReply reply, long nowMs) {
    PendingStore pending = storeOperations.remove(reply.operationId());
    if (pending != null) {
      finish(pending, reply, nowMs);
    }
  }

  /**
   * Hands a reply to its handler; a reply that comes too late is dropped.
   *
   * @param reply the reply; not null
   * @param nowMs the current time
   */
  public void onTargetReply(TargetReply reply, long nowMs) {
    PendingTarget pending = targetOperations.remove(reply.operationId());
    if (pending != null) {
      pending.handler.onReply(reply, nowMs);
    }
  }

  /**
   * Ends operations whose reply did not come in time.
   *
   * @param nowMs the current time
   */
  public void expire(long nowMs) {
    for (Map.Entry<Long, PendingStore> entry : List.copyOf(storeOperations.entrySet())) {
      if (nowMs >= entry.getValue().deadlineMs) {
        storeOperations.remove(entry.getKey());
        finish(entry.getValue(), NO_REPLY, nowMs);
      }
    }
    for (Map.Entry<Long, PendingTarget> entry : List.copyOf(targetOperations.entrySet())) {
      PendingTarget pending = entry.getValue();
      if (nowMs >= pending.deadlineMs) {
        targetOperations.remove(entry.getKey());
        pending.handler.onReply(
            new TargetReply(
                entry.getKey(), pending.target, TargetOutcome.NO_ANSWER, Incarnation.UNKNOWN),
            nowMs);
      }
    }
  }

  /** Forgets every operation under way; their replies are dropped. */
  public void forget() {
    storeOperations.clear();
    targetOperations.clear();
  }

  /**
   * Tells whether the last store operation that ended failed.
   *
   * @return false once any operation succeeds
   */
  public boolean isStoreDown() {
    return storeDown;
  }

  /**
   * Takes the effects out.
   *
   * @return the effects in order; not null
   */
  public List<ControllerEffect> drain() {
    List<ControllerEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  private void finish(PendingStore pending, StoreReply reply, long nowMs) {
    StoreOutcome outcome = reply.outcome();
    storeDown = outcome == StoreOutcome.UNKNOWN || outcome == StoreOutcome.UNAVAILABLE;
    pending.handler.onReply(reply, nowMs);
  }

  private long storeOperation(long nowMs, StoreHandler handler) {
    lastOperationId++;
    storeOperations.put(
        lastOperationId, new PendingStore(handler, nowMs + timings.storeTimeoutMs()));
    return lastOperationId;
  }

  private long targetOperation(TargetId target, long deadlineMs, TargetHandler handler) {
    lastOperationId++;
    targetOperations.put(lastOperationId, new PendingTarget(target, handler, deadlineMs));
    return lastOperationId;
  }

  private record PendingStore(StoreHandler handler, long deadlineMs) {}

  private record PendingTarget(TargetId target, TargetHandler handler, long deadlineMs) {}
}
