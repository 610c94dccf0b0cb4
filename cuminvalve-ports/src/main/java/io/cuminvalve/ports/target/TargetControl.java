package io.cuminvalve.ports.target;

import io.cuminvalve.core.id.RequestId;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the control interface of targets.
 *
 * <p>Addresses are an IP address and a port, as in the inventory. Every future completes normally,
 * within a bounded time. Futures complete on a thread of the implementation.
 *
 * @since 0.1
 */
public interface TargetControl {

  /**
   * Grants shards: the target owns them under these tokens from now on.
   *
   * @param address the target's address; not null
   * @param shards the shards; not null
   * @param tokens the token of each shard; not null, same length
   * @return never null
   */
  CompletableFuture<TargetReply> grant(String address, int[] shards, long[] tokens);

  /**
   * Revokes shards: the target rejects everything at or below these tokens.
   *
   * @param address the target's address; not null
   * @param shards the shards; not null
   * @param tokens the token of each shard; not null, same length
   * @param drain whether the target responds only after requests in flight on them have ended
   * @return never null
   */
  CompletableFuture<TargetReply> revoke(String address, int[] shards, long[] tokens, boolean drain);

  /**
   * Queries the target's health.
   *
   * @param address the target's address; not null
   * @return never null
   */
  CompletableFuture<TargetHealth> health(String address);

  /**
   * Asks the target to cancel a request; best effort.
   *
   * @param address the target's address; not null
   * @param request the request; not null
   * @return never null
   */
  CompletableFuture<TargetReply> cancel(String address, RequestId request);
}
