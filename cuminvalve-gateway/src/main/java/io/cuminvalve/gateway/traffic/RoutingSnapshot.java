package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.Evacuations;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.route.RoutingConfiguration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable snapshot of the state that routing needs.
 *
 * @since 0.2
 */
public final class RoutingSnapshot {

  private final Optional<RoutingConfiguration> configuration;
  private final Set<TargetId> leaving;
  private final Evacuations evacuations;
  private final Map<TargetId, FleetTarget> targets;
  private final Map<ServiceId, List<FleetTarget>> readyByService;
  private final Map<ServiceId, KeyOwners> owners;
  private final OwnersVersion ownersVersion;
  private final int processes;

  private RoutingSnapshot(
      Optional<RoutingConfiguration> configuration,
      Set<TargetId> leaving,
      Evacuations evacuations,
      Map<TargetId, FleetTarget> targets,
      Map<ServiceId, List<FleetTarget>> readyByService,
      Map<ServiceId, KeyOwners> owners,
      OwnersVersion ownersVersion,
      int processes) {
    this.configuration = configuration;
    this.leaving = leaving;
    this.evacuations = evacuations;
    this.targets = targets;
    this.readyByService = readyByService;
    this.owners = owners;
    this.ownersVersion = ownersVersion;
    this.processes = processes;
  }

  /**
   * Returns the snapshot of a process that has just started.
   *
   * @param processes the assumed number of gateways
   * @return never null
   */
  public static RoutingSnapshot initial(int processes) {
    return new RoutingSnapshot(
        Optional.empty(),
        Set.of(),
        Evacuations.NONE,
        Map.of(),
        Map.of(),
        Map.of(),
        OwnersVersion.NONE,
        processes);
  }

  /**
   * Returns a snapshot with another configuration.
   *
   * @param next the configuration; not null
   * @return never null
   */
  public RoutingSnapshot withConfiguration(RoutingConfiguration next) {
    return new RoutingSnapshot(
        Optional.of(next),
        leaving,
        evacuations,
        targets,
        readyByService,
        owners,
        ownersVersion,
        processes);
  }

  /**
   * Returns a snapshot with other targets.
   *
   * @param next all targets; not null
   * @return never null
   */
  public RoutingSnapshot withTargets(List<FleetTarget> next) {
    return with(next, leaving, evacuations);
  }

  /**
   * Returns a snapshot with another set of targets that announced in a response that they leave,
   * whatever the registry says of them.
   *
   * @param next all leaving targets; not null
   * @return never null
   */
  public RoutingSnapshot withLeaving(Set<TargetId> next) {
    return with(targets.values(), Set.copyOf(next), evacuations);
  }

  /**
   * Returns a snapshot with other evacuated data centres.
   *
   * @param next the evacuations; not null
   * @return never null
   */
  public RoutingSnapshot withEvacuations(Evacuations next) {
    return with(targets.values(), leaving, next);
  }

  private RoutingSnapshot with(
      Collection<FleetTarget> registered, Set<TargetId> nextLeaving, Evacuations nextEvacuations) {
    Map<TargetId, FleetTarget> byId = new HashMap<>();
    Map<ServiceId, List<FleetTarget>> ready = new HashMap<>();
    for (FleetTarget entry : registered) {
      boolean leaves = nextLeaving.contains(entry.id()) || isLeaving(entry.id());
      FleetTarget target = leaves ? entry.leaving() : entry;
      byId.put(target.id(), target);
      if (target.isReady() && !nextEvacuations.includes(target.dataCentre())) {
        ready.computeIfAbsent(target.service(), id -> new ArrayList<>()).add(target);
      }
    }
    return new RoutingSnapshot(
        configuration, nextLeaving, nextEvacuations, byId, ready, owners, ownersVersion, processes);
  }

  /** A run that left never becomes ready again; a source that says so is older. */
  private boolean isLeaving(TargetId id) {
    FleetTarget known = targets.get(id);
    return known != null && !known.isReady();
  }

  /**
   * Returns a snapshot with other owners.
   *
   * @param next the owners of each service; not null
   * @param version identifies this state of the owners; not null
   * @return never null
   */
  public RoutingSnapshot withOwners(Map<ServiceId, KeyOwners> next, OwnersVersion version) {
    return new RoutingSnapshot(
        configuration,
        leaving,
        evacuations,
        targets,
        readyByService,
        Map.copyOf(next),
        version,
        processes);
  }

  /**
   * Returns a snapshot with another number of gateways.
   *
   * @param next the number of running gateways; at least 1
   * @return never null
   */
  public RoutingSnapshot withProcesses(int next) {
    return new RoutingSnapshot(
        configuration, leaving, evacuations, targets, readyByService, owners, ownersVersion, next);
  }

  /**
   * Returns the configuration in force.
   *
   * @return empty before the first one is known
   */
  public Optional<RoutingConfiguration> configuration() {
    return configuration;
  }

  /**
   * Returns the evacuated data centres.
   *
   * @return never null
   */
  public Evacuations evacuations() {
    return evacuations;
  }

  /**
   * Returns the targets of a service that accept requests, without those in evacuated data centres.
   *
   * @param service the service; not null
   * @return never null
   */
  public List<FleetTarget> ready(ServiceId service) {
    return readyByService.getOrDefault(service, List.of());
  }

  /**
   * Finds a target of a service whose running targets are all in evacuated data centres.
   *
   * @param service the service; not null
   * @return empty if a target elsewhere accepts requests, or none runs at all
   */
  public Optional<FleetTarget> firstOfEvacuatedService(ServiceId service) {
    if (evacuations.dataCentres().isEmpty() || !ready(service).isEmpty()) {
      return Optional.empty();
    }
    return targets.values().stream()
        .filter(target -> target.service().equals(service) && target.isReady())
        .findFirst();
  }

  /**
   * Finds a target.
   *
   * @param id the target; not null
   * @return empty if it is not registered
   */
  public Optional<FleetTarget> target(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /**
   * Returns the runs of targets that announced in a response that they leave.
   *
   * @return never null
   */
  public Set<TargetId> leaving() {
    return leaving;
  }

  /**
   * Returns all targets.
   *
   * @return in no particular order; never null
   */
  public Collection<FleetTarget> targets() {
    return targets.values();
  }

  /**
   * Returns the owners of the keys of a service.
   *
   * @param service the service; not null
   * @return empty if they are unknown
   */
  public Optional<KeyOwners> owners(ServiceId service) {
    return Optional.ofNullable(owners.get(service));
  }

  /**
   * Returns the version of the owners.
   *
   * @return a version that differs whenever the owners differ; never null
   */
  public OwnersVersion ownersVersion() {
    return ownersVersion;
  }

  /**
   * Returns the number of keys of all services whose owner has no lease.
   *
   * @return at least 0
   */
  public int keysWithoutLease() {
    return owners.values().stream().mapToInt(KeyOwners::keysWithoutLease).sum();
  }

  /**
   * Returns the number of running gateways.
   *
   * @return at least 1
   */
  public int processes() {
    return processes;
  }

  /**
   * Returns whether requests can be served.
   *
   * @return false while the configuration or the targets are unknown
   */
  public boolean isUsable() {
    return configuration.isPresent() && !targets.isEmpty();
  }
}
