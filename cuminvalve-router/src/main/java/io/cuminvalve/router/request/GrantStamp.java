package io.cuminvalve.router.request;

import org.eclipse.jetty.http.HttpFields;

/**
 * Puts the grant of a request into its header fields, at the last moment before its first byte.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface GrantStamp {

  /**
   * Issues the grant, if this router may dispatch to the target now.
   *
   * @param slot the target and the shard; not null
   * @param headers receives shard, token, expiry and expected incarnation; not null
   * @return false if the request must not be sent now
   */
  boolean issue(Slot slot, HttpFields.Mutable headers);
}
