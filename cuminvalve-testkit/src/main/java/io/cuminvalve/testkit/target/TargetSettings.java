package io.cuminvalve.testkit.target;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.GrantCapability;

/**
 * What a target stand-in is like.
 *
 * @param id its identifier; not null
 * @param service the service it belongs to; not null
 * @param capability what it checks; not null
 * @param slots how many requests it runs at a time; at least 1
 * @param queueLength how many more may wait for a slot; at least 0
 * @param maxConnections how many connections it accepts, or 0 for no limit
 * @param port the port, or 0 for any free one
 * @param workMs how long one request runs, in milliseconds
 * @param coldMs how long after its start it is slow, in milliseconds
 * @since 0.1
 */
public record TargetSettings(
    TargetId id,
    ServiceId service,
    GrantCapability capability,
    int slots,
    int queueLength,
    int maxConnections,
    int port,
    long workMs,
    long coldMs) {

  private static final int DEFAULT_QUEUE_LENGTH = 8;

  /**
   * Returns settings with a short queue and no connection limit, on any free port.
   *
   * @param id its identifier; not null
   * @param service its service; not null
   * @param capability what it checks; not null
   * @param slots how many requests it runs at a time; at least 1
   * @param workMs how long one request runs, in milliseconds
   * @return the settings
   */
  public static TargetSettings of(
      TargetId id, ServiceId service, GrantCapability capability, int slots, long workMs) {
    return new TargetSettings(
        id, service, capability, slots, DEFAULT_QUEUE_LENGTH, 0, 0, workMs, 0);
  }
}
