package io.cuminvalve.core.replay;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.retry.RetryBudget;
import io.cuminvalve.core.retry.RetrySettings;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Runs a trace against the decisions of the request path in virtual time.
 *
 * <p>The same trace gives the same report each time: time is virtual and jitter has a fixed seed. A
 * message between routers takes one millisecond. A trace starts with {@link TraceEvent.Targets} and
 * {@link TraceEvent.Routers}.
 *
 * @since 0.1
 */
public final class TraceReplay {

  private static final long SEED = 20_260_101L;
  private static final long MESSAGE_MS = 1;
  private static final long TICK_MS = 10;
  private static final String ADDRESS = "127.0.0.1:1";
  private static final DataCentreId DATA_CENTRE = new DataCentreId("replay");
  private static final ServiceId SERVICE = new ServiceId("replay");

  private final VirtualTime time = new VirtualTime();
  private final Random random = new Random(SEED);
  private final Map<RouterId, ReplayRouter> routers = new LinkedHashMap<>();
  private final Map<TargetId, ReplayTarget> targets = new LinkedHashMap<>();
  private final Map<RequestId, ReplayRequest> requests = new LinkedHashMap<>();
  private List<Instance> instances = List.of();
  private TableVersion version = TableVersion.NONE;
  private long lastRun;

  private TraceReplay() {}

  /**
   * Runs a trace until each of its requests has ended.
   *
   * @param trace the events, in the order of their time; not null
   * @return never null
   * @throws CodedException with code INVALID_INPUT if an event names something that no earlier
   *     event introduced
   */
  public static ReplayReport run(List<TraceEvent> trace) {
    return new TraceReplay().runAll(trace);
  }

  private ReplayReport runAll(List<TraceEvent> trace) {
    trace.forEach(event -> time.at(event.atMs(), () -> apply(event)));
    long lastEventMs = trace.stream().mapToLong(TraceEvent::atMs).max().orElse(0);
    time.at(0, this::tick);
    while (time.nowMs() <= lastEventMs || !isOver()) {
      time.step();
    }
    List<ReplayOutcome> outcomes = new ArrayList<>();
    requests.values().forEach(request -> outcomes.add(request.result()));
    double most = targets.values().stream().mapToDouble(ReplayTarget::mostInFlight).max().orElse(0);
    return new ReplayReport(outcomes, most);
  }

  private boolean isOver() {
    return requests.values().stream().allMatch(ReplayRequest::isOver);
  }

  private void tick() {
    routers.values().forEach(router -> router.tick(time.nowMs()));
    time.after(TICK_MS, this::tick);
  }

  private void apply(TraceEvent event) {
    if (event instanceof TraceEvent.Targets changed) {
      installTargets(changed.targets());
    } else if (event instanceof TraceEvent.Routers changed) {
      installRouters(changed.routers());
    } else if (event instanceof TraceEvent.Arrival arrival) {
      arrive(arrival);
    } else if (event instanceof TraceEvent.CallerGone gone) {
      known(requests.get(gone.request()), gone).onCallerGone();
    } else if (event instanceof TraceEvent.TargetChanged changed) {
      known(targets.get(changed.target()), changed).change(changed.state());
    } else if (event instanceof TraceEvent.RouterLost lost) {
      known(routers.get(lost.router()), lost).lose();
    } else if (event instanceof TraceEvent.RouterStopping stopping) {
      known(routers.get(stopping.router()), stopping).stop();
    }
  }

  private void arrive(TraceEvent.Arrival arrival) {
    ReplayRouter router = known(routers.get(arrival.router()), arrival);
    ReplayTarget target = known(targets.get(arrival.target()), arrival);
    ReplayRequest request = new ReplayRequest(time, arrival, router, target);
    requests.put(arrival.request(), request);
    router.take(arrival.request(), request);
  }

  private void installTargets(List<TraceTarget> all) {
    instances =
        all.stream()
            .map(t -> new Instance(t.id(), SERVICE, DATA_CENTRE, ADDRESS, t.slots(), t.slots()))
            .toList();
    all.forEach(t -> targets.computeIfAbsent(t.id(), id -> new ReplayTarget(time, t.slots())));
    routers.values().forEach(r -> r.admission().onTargets(instances, time.nowMs()));
  }

  private void installRouters(List<RouterId> ids) {
    version = version.nextWrite();
    List<RegisteredRouter> registered =
        ids.stream().map(id -> new RegisteredRouter(id, DATA_CENTRE, ADDRESS, true)).toList();
    for (RouterId id : ids) {
      ReplayRouter running = routers.get(id);
      if (running == null || running.isLost()) {
        routers.put(id, startRouter(id));
      }
    }
    for (ReplayRouter router : routers.values()) {
      if (!router.isLost()) {
        router.admission().onTable(version, registered, time.nowMs());
        router.intents().onTable(version, registered, time.nowMs());
      }
    }
  }

  private ReplayRouter startRouter(RouterId id) {
    lastRun++;
    RetryBudget budget = new RetryBudget(RetrySettings.DEFAULT, random::nextDouble);
    ReplayRouter router =
        new ReplayRouter(
            id, new Incarnation(lastRun), budget, (to, message) -> send(id, to, message));
    router.admission().onTargets(instances, time.nowMs());
    return router;
  }

  private void send(RouterId from, RouterId to, PeerMessage message) {
    time.after(
        MESSAGE_MS,
        () -> {
          ReplayRouter receiver = routers.get(to);
          if (receiver != null) {
            receiver.receive(message, from, time.nowMs());
          }
        });
  }

  private static <T> T known(T found, TraceEvent event) {
    if (found == null) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "trace names something not introduced before: " + event);
    }
    return found;
  }
}
