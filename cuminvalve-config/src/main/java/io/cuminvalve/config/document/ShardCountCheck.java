package io.cuminvalve.config.document;

import io.cuminvalve.config.check.CheckReport;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import java.util.ArrayList;
import java.util.List;

/**
 * Refuses a new inventory that changes the number of shards of a service.
 *
 * <p>Keys hash to shards, so another number would give keys new owners all at once.
 *
 * @since 0.1
 */
public final class ShardCountCheck {

  private ShardCountCheck() {}

  /**
   * Compares two inventories.
   *
   * @param older the published inventory; not null
   * @param newer the inventory to publish; not null
   * @return a finding for each service whose number of shards differs
   */
  public static CheckReport check(Inventory older, Inventory newer) {
    List<Finding> findings = new ArrayList<>();
    for (int i = 0; i < newer.services().size(); i++) {
      Service service = newer.services().get(i);
      int oldCount =
          older.service(service.id()).map(Service::shardCount).orElse(service.shardCount());
      if (oldCount != service.shardCount()) {
        findings.add(
            new Finding(
                "inventory.json#/services/" + i + "/shardCount",
                FindingCode.SHARD_COUNT_CHANGED,
                "service %s has %d shards, not %d"
                    .formatted(service.id(), oldCount, service.shardCount()),
                "Keep the number, or publish the service under a new id and move its keys."));
      }
    }
    return new CheckReport(findings);
  }
}
