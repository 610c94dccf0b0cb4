package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which routers the next table names, and which of them are witnesses.
 *
 * <p>Routers are added at any time. Witnesses change, and routers are removed, only once the
 * present table is closed; a witness first becomes an ordinary router, so that its address stays
 * known until the change is closed.
 *
 * @since 0.1
 */
public final class RouterRoster {

  private static final int READY_HEARTBEATS = 4;

  private final HolderContext context;
  private final RouterReports reports;
  private final long sinceMs;
  private final Map<RouterId, RouterHello> hellos = new LinkedHashMap<>();
  private final Map<RouterId, Long> helloAtMs = new HashMap<>();
  private final Map<RouterId, Incarnation> leaving = new HashMap<>();

  /**
   * Creates a roster without pending changes.
   *
   * @param context the holder; not null
   * @param reports what routers reported; not null
   * @param nowMs the current time
   */
  public RouterRoster(HolderContext context, RouterReports reports, long nowMs) {
    this.context = context;
    this.reports = reports;
    this.sinceMs = nowMs;
  }

  /**
   * Records that a router wants to be registered.
   *
   * @param hello its introduction; not null
   * @param nowMs the current time
   */
  public void onHello(RouterHello hello, long nowMs) {
    helloAtMs.put(hello.router(), nowMs);
    Incarnation left = leaving.get(hello.router());
    if (left != null && !left.equals(hello.incarnation())) {
      leaving.remove(hello.router());
    }
    if (!hello.incarnation().equals(left)) {
      hellos.put(hello.router(), hello);
    }
  }

  /**
   * Records that a router dispatches nothing more and wants to be removed.
   *
   * @param router the router; not null
   * @param incarnation its run; not null
   */
  public void onLeave(RouterId router, Incarnation incarnation) {
    hellos.remove(router);
    leaving.put(router, incarnation);
  }

  /**
   * Computes the registered routers of the next table.
   *
   * @param table the present table; not null
   * @param closed whether the present table is closed
   * @param nowMs the current time
   * @return the present ones if nothing is to change; not null
   */
  public RosterChange next(ShardTable table, boolean closed, long nowMs) {
    List<RegisteredRouter> routers = new ArrayList<>(table.routers());
    boolean replaced = addNewcomers(routers, closed);
    if (!closed) {
      return new RosterChange(routers, table.previousWitnesses());
    }
    boolean mostReply = mostReply(table, nowMs);
    boolean removed =
        routers.removeIf(router -> !router.witness() && isGone(router, mostReply, nowMs));
    Set<RouterId> witnesses =
        WitnessChooser.choose(
            routers, router -> isGone(router, mostReply, nowMs), router -> isReady(router, nowMs));
    if (!witnesses.isEmpty()) {
      routers.replaceAll(router -> withWitness(router, witnesses.contains(router.id())));
    }
    boolean sameWitnesses = witnesses.isEmpty() || witnesses.equals(Set.copyOf(table.witnesses()));
    boolean quiet = sameWitnesses && !removed && !replaced;
    return new RosterChange(routers, quiet ? List.of() : table.witnesses());
  }

  private boolean addNewcomers(List<RegisteredRouter> routers, boolean closed) {
    boolean replaced = false;
    for (RouterHello hello : List.copyOf(hellos.values())) {
      RegisteredRouter entry =
          new RegisteredRouter(hello.router(), hello.dataCentre(), hello.peerAddress(), false);
      RegisteredRouter present =
          routers.stream().filter(r -> r.id().equals(hello.router())).findFirst().orElse(null);
      if (present == null) {
        routers.add(entry);
      } else if (present.peerAddress().equals(hello.peerAddress())) {
        hellos.remove(hello.router());
      } else if (closed) {
        routers.set(routers.indexOf(present), entry);
        replaced = true;
      }
    }
    return replaced;
  }

  private boolean isGone(RegisteredRouter router, boolean mostReply, long nowMs) {
    boolean lost = mostReply && silentMs(router, nowMs) >= context.timings().routerLostMs();
    return lost || leaving.containsKey(router.id());
  }

  private boolean isReady(RegisteredRouter router, long nowMs) {
    HeartbeatReply last = reports.last(router.id());
    long silentMs = reports.silentMs(router.id(), nowMs);
    return last != null
        && last.learned()
        && silentMs <= READY_HEARTBEATS * context.timings().heartbeatMs();
  }

  private boolean mostReply(ShardTable table, long nowMs) {
    long replying =
        table.routers().stream()
            .filter(router -> silentMs(router, nowMs) < context.timings().routerLostMs())
            .count();
    return 2 * replying >= table.routers().size();
  }

  private long silentMs(RegisteredRouter router, long nowMs) {
    long heardAtMs = Math.max(sinceMs, helloAtMs.getOrDefault(router.id(), sinceMs));
    return Math.min(nowMs - heardAtMs, reports.silentMs(router.id(), nowMs));
  }

  private static RegisteredRouter withWitness(RegisteredRouter router, boolean witness) {
    return new RegisteredRouter(router.id(), router.dataCentre(), router.peerAddress(), witness);
  }
}
