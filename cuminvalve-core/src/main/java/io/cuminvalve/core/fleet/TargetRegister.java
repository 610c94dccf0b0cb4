package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The currently known targets, with a version that changes whenever routing has to change.
 *
 * <p>Targets renew their registrations periodically; only changes that affect routing increment the
 * version. While the registry was unreachable, entries of running targets may have expired, so
 * {@link #replaceAll} can keep missing entries. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetRegister {

  private final Map<TargetId, FleetTarget> targets = new TreeMap<>();
  private long version;

  /**
   * Adds or updates a registration. A later run replaces earlier runs of the same target. Updates
   * from an earlier run are ignored, and so are those from before the target began to leave.
   *
   * @param target the registration; not null
   * @return true if routing has to change
   */
  public boolean put(FleetTarget target) {
    if (hasAny(known -> known.isLaterRunOf(target.id()))) {
      return false;
    }
    targets.keySet().removeIf(target.id()::isLaterRunOf);
    FleetTarget before = targets.get(target.id());
    if (before != null && isLeaving(before) && !isLeaving(target)) {
      return false;
    }
    targets.put(target.id(), target);
    boolean changed = !target.hasSameRouting(before);
    if (changed) {
      version++;
    }
    return changed;
  }

  private static boolean isLeaving(FleetTarget target) {
    return target.phase() == TargetPhase.DRAINING;
  }

  private boolean hasAny(Predicate<TargetId> condition) {
    return targets.keySet().stream().anyMatch(condition);
  }

  /**
   * Returns the known runs of a target; more than one only while their start times are not known.
   *
   * @param id the target, or any run of it; not null
   * @return never null
   */
  public List<TargetId> runsOf(TargetId id) {
    String name = id.name();
    return targets.keySet().stream().filter(known -> known.name().equals(name)).toList();
  }

  /**
   * Removes a target.
   *
   * @param id the target; not null
   * @return true if it was known
   */
  public boolean remove(TargetId id) {
    boolean known = targets.remove(id) != null;
    if (known) {
      version++;
    }
    return known;
  }

  /**
   * Replaces the registrations by a complete list.
   *
   * @param listed all registrations; not null
   * @param keepMissing true while registrations that expired in an outage may still be renewed
   * @return true if routing has to change
   */
  public boolean replaceAll(Collection<FleetTarget> listed, boolean keepMissing) {
    boolean changed = false;
    Map<TargetId, FleetTarget> byId = new TreeMap<>();
    for (FleetTarget target : listed) {
      byId.put(target.id(), target);
      changed |= put(target);
    }
    if (!keepMissing) {
      for (TargetId id : List.copyOf(targets.keySet())) {
        changed |= !byId.containsKey(id) && remove(id);
      }
    }
    return changed;
  }

  /**
   * Returns all targets.
   *
   * @return in the order of their ids; never null
   */
  public List<FleetTarget> all() {
    return List.copyOf(targets.values());
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the service; not null
   * @return in the order of their ids; never null
   */
  public List<FleetTarget> of(ServiceId service) {
    List<FleetTarget> result = new ArrayList<>();
    for (FleetTarget target : targets.values()) {
      if (target.service().equals(service)) {
        result.add(target);
      }
    }
    return result;
  }

  /**
   * Finds a target.
   *
   * @param id the target; not null
   * @return empty if it is not registered
   */
  public Optional<FleetTarget> find(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /**
   * Returns the version of the information used for routing.
   *
   * @return a number that starts at 0 and never decreases
   */
  public long version() {
    return version;
  }
}
