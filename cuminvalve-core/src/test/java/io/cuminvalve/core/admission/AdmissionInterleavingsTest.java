package io.cuminvalve.core.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random interleavings of several {@link AdmissionCoordinator}s with delayed and lost messages
 * and with routers that fail and are replaced. Checks that all routers together never exceed the
 * slots of a target, and that each request gets exactly one answer.
 */
class AdmissionInterleavingsTest {

  private static final CellId CELL = new CellId("claims");
  private static final int SLOTS = 3;
  private static final int TARGETS = 3;
  private static final int ROUTERS = 4;
  private static final int STEPS = 3_000;
  private static final long LONGEST_DELAY_MS = 40;
  private static final long LONGEST_SERVICE_MS = 80;

  private Random random;
  private long nowMs;
  private long nextPermit = 1;
  private TableVersion version = new TableVersion(1, 1, 0);
  private List<RegisteredRouter> routers = new ArrayList<>();
  private final Map<RouterId, Node> nodes = new HashMap<>();
  private final Map<List<RouterId>, Deque<Sent>> links = new HashMap<>();
  private final Map<Long, Call> inFlight = new HashMap<>();
  private final Map<Long, Call> waiting = new HashMap<>();
  private final Set<Long> answered = new HashSet<>();

  /** A message in transit. */
  private record Sent(PeerMessage message, long sentAtMs) {}

  /** A request at a router. */
  private record Call(RouterId router, TargetId target, long permit, long endsAtMs) {}

  /** A router; receives the decisions and messages of its coordinator. */
  private final class Node implements AdmissionSink {

    private final RouterId id;
    private final AdmissionCoordinator coordinator;
    private TableVersion installed = TableVersion.NONE;
    private boolean lost;

    Node(RouterId id, long incarnation) {
      this.id = id;
      this.coordinator =
          new AdmissionCoordinator(
              CELL, id, new Incarnation(incarnation), AdmissionSettings.DEFAULT, this);
      coordinator.onTargets(instances(), nowMs);
    }

    @Override
    public void granted(long permit) {
      Call call = waiting.remove(permit);
      assertWithMessage("granted once").that(answered.add(permit)).isTrue();
      inFlight.put(permit, call);
      long running =
          inFlight.values().stream().filter(c -> c.target().equals(call.target())).count();
      assertWithMessage("slots in use of %s at %s", call.target(), nowMs)
          .that(running)
          .isAtMost(SLOTS);
    }

    @Override
    public void refused(long permit, RefusalReason reason, long retryAfterMs) {
      waiting.remove(permit);
      assertWithMessage("answered once").that(answered.add(permit)).isTrue();
      assertWithMessage("retry advice").that(retryAfterMs).isGreaterThan(0L);
    }

    @Override
    public void send(RouterId to, PeerMessage message) {
      links
          .computeIfAbsent(List.of(id, to), link -> new ArrayDeque<>())
          .add(new Sent(message, nowMs));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void slotLimitHoldsOverAllRouters(long seed) {
    random = new Random(seed);
    for (int i = 0; i < ROUTERS; i++) {
      addRouter("r" + i, i + 1);
    }
    for (int step = 0; step < STEPS; step++) {
      performRandomAction(step);
    }
    for (int i = 0; i < 20_000 && !waiting.isEmpty(); i++) {
      advance(5);
    }
    assertWithMessage("every request is answered").that(waiting).isEmpty();
    assertWithMessage("most are served").that(answered.size()).isGreaterThan(STEPS / 5);
  }

  private void performRandomAction(int step) {
    int dice = random.nextInt(100);
    if (dice < 40) {
      startRequest();
    } else if (dice < 85) {
      advance(random.nextInt(8));
    } else if (dice < 90) {
      withdraw();
    } else if (dice < 93) {
      installOnRandomRouter();
    } else if (dice < 94) {
      breakLink();
    } else if (step % 600 == 0) {
      loseOrAddRouter();
    } else {
      deliverOne();
    }
    if (step % 500 == 499) {
      loseOrAddRouter();
    }
  }

  private void addRouter(String name, long incarnation) {
    RouterId id = new RouterId(name);
    routers = new ArrayList<>(routers);
    routers.add(new RegisteredRouter(id, new DataCentreId("dc"), "127.0.0.1:1", true));
    version = version.nextWrite();
    nodes.put(id, new Node(id, incarnation));
  }

  private void loseOrAddRouter() {
    List<Node> alive = nodes.values().stream().filter(node -> !node.lost).toList();
    if (alive.size() < ROUTERS) {
      addRouter("r" + nextPermit, nextPermit);
      return;
    }
    if (alive.stream().anyMatch(node -> !node.installed.equals(version))) {
      return;
    }
    Node victim = alive.get(random.nextInt(alive.size()));
    victim.lost = true;
    routers = new ArrayList<>(routers);
    routers.removeIf(router -> router.id().equals(victim.id));
    version = version.nextWrite();
    waiting.values().removeIf(call -> call.router().equals(victim.id));
    links.keySet().removeIf(link -> link.contains(victim.id));
  }

  private void startRequest() {
    Node node = randomAliveNode();
    long permit = nextPermit++;
    TargetId target = new TargetId("t" + random.nextInt(TARGETS));
    long endsAtMs = nowMs + random.nextInt((int) LONGEST_SERVICE_MS);
    waiting.put(permit, new Call(node.id, target, permit, endsAtMs));
    RequestClass requestClass = RequestClass.values()[random.nextInt(2)];
    TenantId tenant = new TenantId("tenant" + random.nextInt(3));
    node.coordinator.admit(permit, target, tenant, requestClass, nowMs + 1_500, nowMs);
  }

  private void withdraw() {
    if (waiting.isEmpty()) {
      return;
    }
    Call call = new ArrayList<>(waiting.values()).get(random.nextInt(waiting.size()));
    waiting.remove(call.permit());
    answered.add(call.permit());
    nodes.get(call.router()).coordinator.withdraw(call.permit(), call.target(), nowMs);
  }

  private void installOnRandomRouter() {
    install(randomAliveNode());
  }

  private void install(Node node) {
    node.installed = version;
    node.coordinator.onTable(version, routers, nowMs);
  }

  private void breakLink() {
    if (!links.isEmpty()) {
      List<List<RouterId>> all = new ArrayList<>(links.keySet());
      links.get(all.get(random.nextInt(all.size()))).clear();
    }
  }

  private void advance(long durationMs) {
    nowMs += durationMs;
    for (Node node : List.copyOf(nodes.values())) {
      if (!node.lost && !node.installed.equals(version) && random.nextInt(10) == 0) {
        install(node);
      }
    }
    for (List<RouterId> link : List.copyOf(links.keySet())) {
      Deque<Sent> queue = links.get(link);
      while (!queue.isEmpty() && nowMs - queue.peek().sentAtMs() > LONGEST_DELAY_MS) {
        deliver(link, queue.poll());
      }
    }
    for (Call call : List.copyOf(inFlight.values())) {
      if (nowMs >= call.endsAtMs()) {
        inFlight.remove(call.permit());
        if (!nodes.get(call.router()).lost) {
          nodes
              .get(call.router())
              .coordinator
              .release(call.permit(), call.target(), SlotUse.ANSWERED, 20, nowMs);
        }
      }
    }
    nodes.values().stream()
        .filter(node -> !node.lost)
        .forEach(node -> node.coordinator.tick(nowMs));
  }

  private void deliverOne() {
    List<List<RouterId>> full =
        links.keySet().stream().filter(link -> !links.get(link).isEmpty()).toList();
    if (!full.isEmpty()) {
      List<RouterId> link = full.get(random.nextInt(full.size()));
      deliver(link, links.get(link).poll());
    }
  }

  private void deliver(List<RouterId> link, Sent sent) {
    Node receiver = nodes.get(link.get(1));
    if (receiver != null && !receiver.lost) {
      receiver.coordinator.onMessage(sent.message(), link.get(0), nowMs);
    }
  }

  private Node randomAliveNode() {
    List<Node> alive = nodes.values().stream().filter(node -> !node.lost).toList();
    return alive.get(random.nextInt(alive.size()));
  }

  private static List<Instance> instances() {
    List<Instance> all = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      all.add(
          new Instance(
              new TargetId("t" + i),
              new ServiceId("claims"),
              new DataCentreId("dc"),
              "127.0.0.1:2",
              SLOTS,
              40));
    }
    return all;
  }
}
