package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The queued requests, indexed by the target whose full slots keep them waiting. A response frees a
 * slot at one target, so only the requests that wait for that target, and those that wait for
 * something else, are looked at again.
 *
 * <p>Guarded by the lock of the {@link Dispatcher}.
 */
final class WaitingRequests {

  private final Map<ServiceId, Map<Optional<TargetId>, Set<SlotRequest>>> queues = new HashMap<>();
  private final Map<SlotRequest, Optional<TargetId>> fullOwners = new HashMap<>();

  /**
   * Adds a request, or changes what it waits for.
   *
   * @param fullOwner the owner of its key if all slots there are in use; empty if it waits for
   *     anything else
   */
  void put(SlotRequest request, Optional<TargetId> fullOwner) {
    Optional<TargetId> before = fullOwners.get(request);
    if (fullOwner.equals(before)) {
      return;
    }
    remove(request);
    fullOwners.put(request, fullOwner);
    queues
        .computeIfAbsent(request.service(), id -> new HashMap<>())
        .computeIfAbsent(fullOwner, id -> new LinkedHashSet<>())
        .add(request);
  }

  /** Removes a request. Returns whether it was queued. */
  boolean remove(SlotRequest request) {
    Optional<TargetId> fullOwner = fullOwners.remove(request);
    if (fullOwner == null) {
      return false;
    }
    Map<Optional<TargetId>, Set<SlotRequest>> groups = queues.get(request.service());
    Set<SlotRequest> group = groups.get(fullOwner);
    group.remove(request);
    if (group.isEmpty()) {
      groups.remove(fullOwner);
    }
    if (groups.isEmpty()) {
      queues.remove(request.service());
    }
    return true;
  }

  boolean contains(SlotRequest request) {
    return fullOwners.containsKey(request);
  }

  /** Returns the owner whose full slots keep a request waiting; empty if nothing is known. */
  Optional<TargetId> fullOwner(SlotRequest request) {
    return fullOwners.getOrDefault(request, Optional.empty());
  }

  /** Returns the services for which requests wait. */
  List<ServiceId> services() {
    return List.copyOf(queues.keySet());
  }

  /** Returns all queued requests of a service. */
  List<SlotRequest> all(ServiceId service) {
    List<SlotRequest> all = new ArrayList<>();
    queues.getOrDefault(service, Map.of()).values().forEach(all::addAll);
    return all;
  }

  /** Returns the requests that a free slot of a target may serve. */
  List<SlotRequest> affectedBy(ServiceId service, TargetId freed) {
    List<SlotRequest> affected = new ArrayList<>(waitingFor(service, Optional.of(freed)));
    affected.addAll(waitingFor(service, Optional.empty()));
    return affected;
  }

  /**
   * Returns the requests that wait for a full owner, or, if it is empty, those that wait for
   * anything else.
   */
  Collection<SlotRequest> waitingFor(ServiceId service, Optional<TargetId> fullOwner) {
    return queues.getOrDefault(service, Map.of()).getOrDefault(fullOwner, Set.of());
  }

  int size() {
    return fullOwners.size();
  }
}
