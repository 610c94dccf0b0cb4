package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.lease.RangeRoutes;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.RoutesChange;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The targets and the owners of keys that the term holder published last.
 *
 * <p>The holder keeps what it has published in order to send only differences. The other gateways
 * keep what they have received in order to apply differences to it and to pass it on to a process
 * that has just started. All methods run on the control thread.
 */
final class FleetView {

  private final ToLongFunction<TargetId> coldLeftMs;
  private TargetsPush targets = new TargetsPush(0, 0, List.of());
  private RoutesPush routes = new RoutesPush(0, 0, List.of());

  /**
   * Term and version of the newest targets applied; kept when {@link #invalidateTargets} requests
   * them again.
   */
  private long newestTerm;

  private long newestVersion;

  /**
   * Creates a view without targets and owners.
   *
   * @param coldLeftMs returns for how long a target is still cold; milliseconds; not null
   */
  FleetView(ToLongFunction<TargetId> coldLeftMs) {
    this.coldLeftMs = coldLeftMs;
  }

  /** Returns the message with the cold times that are left now; those in it may be long over. */
  TargetsPush withCurrentColdTimes(TargetsPush push) {
    List<FleetTarget> current = new ArrayList<>();
    for (FleetTarget target : push.targets()) {
      current.add(target.withColdMs(coldLeftMs.applyAsLong(target.id())));
    }
    return new TargetsPush(push.term(), push.version(), current);
  }

  TargetsPush targets() {
    return targets;
  }

  RoutesPush routes() {
    return routes;
  }

  FleetHello hello(
      String process,
      String dataCentre,
      double processorCores,
      long configurationRevision,
      long crashDigest,
      long limitDigest,
      UpperTime sent,
      long departureDigest,
      String relayAddress,
      ReachShare reach) {
    return new FleetHello(
        process,
        targets.term(),
        targets.version(),
        routes.term(),
        routes.version(),
        configurationRevision,
        dataCentre,
        processorCores,
        crashDigest,
        limitDigest,
        sent.ms(),
        departureDigest,
        relayAddress,
        reach.reachable(),
        reach.unreachable());
  }

  /**
   * Publishes the current targets of this process, the holder. Returns the message for the other
   * gateways: all targets at the start of a term, otherwise the difference.
   */
  FleetMessage publishTargets(long term, long version, List<FleetTarget> now) {
    TargetsPush before = targets;
    targets = new TargetsPush(term, version, now);
    recordNewest();
    if (before.term() != term) {
      return targets;
    }
    Map<TargetId, FleetTarget> removed = byId(before.targets());
    List<FleetTarget> written = new ArrayList<>();
    for (FleetTarget target : now) {
      FleetTarget known = removed.remove(target.id());
      if (!target.hasSameRouting(known) || isStillCold(target, known)) {
        written.add(target);
      }
    }
    return new TargetsChange(
        term, before.version(), version, written, List.copyOf(removed.keySet()));
  }

  /** Returns whether a target that was published as cold is cold, perhaps once more. */
  private static boolean isStillCold(FleetTarget target, FleetTarget known) {
    return known != null && known.coldMs() > 0 && target.coldMs() > 0;
  }

  /**
   * Publishes the current owners decided by this process, the holder. Returns the message for the
   * other gateways: all owners at the start of a term, otherwise the difference.
   */
  FleetMessage publishRoutes(long term, long version, List<ServiceRanges> now) {
    RoutesPush before = routes;
    routes = new RoutesPush(term, version, now);
    if (before.term() != term) {
      return routes;
    }
    Map<ServiceId, List<RangeRoute>> known = byService(before.services());
    List<ServiceRanges> changed = new ArrayList<>();
    for (ServiceRanges service : now) {
      List<RangeRoute> earlier = known.getOrDefault(service.service(), List.of());
      List<RangeRoute> changes = RangeRoutes.changes(earlier, service.ranges());
      if (!changes.isEmpty()) {
        changed.add(new ServiceRanges(service.service(), changes));
      }
    }
    return new RoutesChange(term, before.version(), version, changed);
  }

  /**
   * Marks the targets as outdated after the holder fell silent, so that the next hello requests all
   * of them.
   */
  void invalidateTargets() {
    targets = new TargetsPush(0, 0, targets.targets());
  }

  /**
   * Applies the owners read from the store, unless some are known already. Returns whether it did.
   */
  boolean applyStored(List<ServiceRanges> owners) {
    boolean unknown = routes.term() == 0 && routes.services().isEmpty();
    if (unknown) {
      routes = new RoutesPush(0, 0, owners);
    }
    return unknown;
  }

  /** Replaces all targets if the message is not outdated. Returns whether it did. */
  boolean apply(TargetsPush push) {
    long term = Math.max(routes.term(), newestTerm);
    boolean later = push.term() > newestTerm || push.version() >= newestVersion;
    boolean newer = push.term() >= term && later;
    if (newer) {
      targets = push;
      recordNewest();
    }
    return newer;
  }

  /** Replaces all owners if the message is newer. Returns whether it did. */
  boolean apply(RoutesPush push) {
    boolean sameTerm = push.term() == routes.term();
    boolean newer = push.term() > routes.term() || (sameTerm && push.version() > routes.version());
    if (newer) {
      routes = push;
    }
    return newer;
  }

  /** Applies a difference to the targets. Returns false if an earlier difference may be missing. */
  boolean apply(TargetsChange change) {
    boolean fits = change.term() == targets.term() && change.fromVersion() == targets.version();
    if (!fits) {
      return false;
    }
    Map<TargetId, FleetTarget> updated = byId(targets.targets());
    change.removed().forEach(updated::remove);
    change.written().forEach(target -> updated.put(target.id(), target));
    targets = new TargetsPush(change.term(), change.version(), List.copyOf(updated.values()));
    recordNewest();
    return true;
  }

  /** Applies a difference to the owners. Returns false if an earlier difference may be missing. */
  boolean apply(RoutesChange change) {
    boolean fits = change.term() == routes.term() && change.fromVersion() == routes.version();
    if (!fits) {
      return false;
    }
    Map<ServiceId, List<RangeRoute>> updated = byService(routes.services());
    for (ServiceRanges service : change.services()) {
      List<RangeRoute> base = updated.getOrDefault(service.service(), List.of());
      updated.put(service.service(), RangeRoutes.overlay(base, service.ranges()));
    }
    List<ServiceRanges> services = new ArrayList<>();
    updated.forEach((id, ranges) -> services.add(new ServiceRanges(id, ranges)));
    routes = new RoutesPush(change.term(), change.version(), services);
    return true;
  }

  private void recordNewest() {
    newestTerm = targets.term();
    newestVersion = targets.version();
  }

  private static Map<TargetId, FleetTarget> byId(List<FleetTarget> targets) {
    Map<TargetId, FleetTarget> result = new LinkedHashMap<>();
    targets.forEach(target -> result.put(target.id(), target));
    return result;
  }

  private static Map<ServiceId, List<RangeRoute>> byService(List<ServiceRanges> services) {
    Map<ServiceId, List<RangeRoute>> result = new LinkedHashMap<>();
    services.forEach(service -> result.put(service.service(), service.ranges()));
    return result;
  }
}
