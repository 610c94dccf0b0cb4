package io.cuminvalve.router.control;

import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.retry.RetryBudget;
import io.cuminvalve.core.routing.RequestMatcher;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.router.caller.CallerRules;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.target.TargetDirectory;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Puts configurations into force in this process. A lower revision never replaces a higher one.
 *
 * <p>Installs on the control thread; any thread may ask what is in force.
 *
 * @since 0.1
 */
public final class ConfigurationInstaller {

  private final TargetDirectory directory;
  private final RetryBudget retries;
  private final RouterMetrics metrics;
  private volatile CallerRules rules;
  private volatile Map<CellId, GrantCapability> capabilities = Map.of();
  private volatile long revision;
  private volatile Inventory inventory = new Inventory(List.of(), List.of(), List.of());

  /**
   * Creates an installer with nothing in force.
   *
   * @param directory takes the targets; not null
   * @param retries decides on further attempts; not null
   * @param metrics shows the revision; not null
   */
  public ConfigurationInstaller(
      TargetDirectory directory, RetryBudget retries, RouterMetrics metrics) {
    this.directory = directory;
    this.retries = retries;
    this.metrics = metrics;
  }

  /**
   * Puts a configuration into force, unless a newer one is.
   *
   * @param newRevision its revision
   * @param json the published document; not null
   * @param routerCount how many routers share the targets; at least 1
   */
  public void install(long newRevision, byte[] json, int routerCount) {
    if (newRevision <= revision) {
      return;
    }
    Configuration configuration = ConfigurationCodec.decode(newRevision, json);
    final RequestMatcher matcher = new RequestMatcher(configuration.rules());
    directory.install(configuration.inventory(), routerCount);
    capabilities =
        configuration.inventory().services().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    service -> CellRoutes.cellOf(service.id()), Service::capability));
    inventory = configuration.inventory();
    rules = new CallerRules(matcher, retries, retries::onRequest);
    revision = newRevision;
    metrics.onConfiguration(newRevision);
    Logger.info("Configuration {} is in force", newRevision);
  }

  /**
   * Returns the rules in force.
   *
   * @return null if there are none yet
   */
  public CallerRules rules() {
    return rules;
  }

  /**
   * Returns the revision in force.
   *
   * @return 0 if there is none yet
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the targets of a cell.
   *
   * @param cell the cell; not null
   * @return empty if the configuration does not name it; never null
   */
  public List<Instance> targetsOf(CellId cell) {
    return inventory.instancesOf(new ServiceId(cell.value()));
  }

  /**
   * Returns what the targets of a cell check.
   *
   * @param cell the cell; not null
   * @return the strictest kind if the cell is unknown
   */
  public GrantCapability capability(CellId cell) {
    return capabilities.getOrDefault(cell, GrantCapability.CHECKS_TOKEN_AND_EXPIRY);
  }
}
