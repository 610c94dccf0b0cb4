package io.cuminvalve.router.target;

import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.kernel.MillisClock;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The targets of the configuration in force.
 *
 * <p>Read by any thread; changed by the control thread only.
 *
 * @since 0.1
 */
public final class TargetDirectory implements ConnectionLimits {

  private final MillisClock clock;
  private volatile Map<TargetId, TargetRecord> records = Map.of();
  private volatile Map<InetSocketAddress, Integer> connectionLimits = Map.of();

  /**
   * Creates an empty directory.
   *
   * @param clock this router's clock; not null
   */
  public TargetDirectory(MillisClock clock) {
    this.clock = clock;
  }

  /**
   * Takes the targets of a configuration. What is known of a target is kept while its address stays
   * the same.
   *
   * @param inventory the inventory; not null
   * @param routerCount how many routers share the connections of each target; at least 1
   */
  public void install(Inventory inventory, int routerCount) {
    Map<TargetId, TargetRecord> next = new HashMap<>();
    Map<InetSocketAddress, Integer> limits = new HashMap<>();
    for (Instance instance : inventory.instances()) {
      InetSocketAddress address = IpAddresses.parse(instance.address());
      TargetRecord known = records.get(instance.id());
      boolean same = known != null && known.address().equals(address);
      next.put(instance.id(), same ? known : new TargetRecord(instance.id(), address, clock));
      limits.put(address, Math.max(1, instance.maxConnections() / routerCount));
    }
    records = Map.copyOf(next);
    connectionLimits = Map.copyOf(limits);
  }

  /**
   * Finds a target.
   *
   * @param id its identifier; not null
   * @return null if the configuration does not name it
   */
  public TargetRecord find(TargetId id) {
    return records.get(id);
  }

  /**
   * Returns all targets.
   *
   * @return immutable, never null
   */
  public Collection<TargetRecord> all() {
    return records.values();
  }

  @Override
  public int maxConnections(InetSocketAddress address) {
    return connectionLimits.getOrDefault(address, 1);
  }
}
