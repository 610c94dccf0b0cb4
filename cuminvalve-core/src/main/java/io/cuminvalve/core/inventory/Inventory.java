package io.cuminvalve.core.inventory;

import io.cuminvalve.core.id.ServiceId;
import java.util.List;
import java.util.Optional;

/**
 * The data centres, services and instances exported from an operator's asset register.
 *
 * @param dataCentres all data centres; not null, copied
 * @param services all services; not null, copied
 * @param instances all instances; not null, copied
 * @since 0.1
 */
public record Inventory(
    List<DataCentre> dataCentres, List<Service> services, List<Instance> instances) {

  /** Copies the lists. */
  public Inventory {
    dataCentres = List.copyOf(dataCentres);
    services = List.copyOf(services);
    instances = List.copyOf(instances);
  }

  /**
   * Returns the instances of one service.
   *
   * @param service the service; not null
   * @return its instances in the order of the inventory; never null
   */
  public List<Instance> instancesOf(ServiceId service) {
    return instances.stream().filter(instance -> instance.service().equals(service)).toList();
  }

  /**
   * Finds a service by its identifier.
   *
   * @param id the identifier; not null
   * @return the service, or empty if it does not exist
   */
  public Optional<Service> service(ServiceId id) {
    return services.stream().filter(service -> service.id().equals(id)).findFirst();
  }
}
