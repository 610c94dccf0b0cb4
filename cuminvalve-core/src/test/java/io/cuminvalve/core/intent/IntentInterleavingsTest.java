package io.cuminvalve.core.intent;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
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
 * Runs random interleavings of several coordinators, with retries through any router, and checks
 * that no operation is sent twice and that every reported verdict is true. Messages are delayed or
 * dropped, and one router at a time is lost, restarted or replaced.
 */
class IntentInterleavingsTest {

  private static final CellId CELL = new CellId("claims");
  private static final int ROUTERS = 5;
  private static final int STEPS = 6_000;
  private static final int OPERATIONS = 60;
  private static final long MAX_DELAY_MS = 30;
  private static final long TIMEOUT_MS = 400;
  private static final long MIN_FAULT_INTERVAL_MS = 250;
  private static final long STARTUP_MS = 1_500;

  private Random random;
  private long nowMs;
  private long nextNumber = 1;
  private long lastFaultMs;
  private TableVersion version = new TableVersion(1, 1, 0);
  private List<RegisteredRouter> routers = new ArrayList<>();
  private final Map<RouterId, Node> nodes = new HashMap<>();
  private final Map<List<RouterId>, Deque<Sent>> links = new HashMap<>();
  private final Map<RequestId, Call> waiting = new HashMap<>();
  private final Map<RequestId, Call> running = new HashMap<>();
  private final Set<OperationId> ran = new HashSet<>();
  private final Set<OperationId> everSent = new HashSet<>();
  private int refusals;

  /** A message in transit. */
  private record Sent(PeerMessage message, long sentAtMs) {}

  /** A request handled by one incarnation of a router. */
  private record Call(Node node, OperationId operation, RequestId request) {}

  /** One incarnation of a router; receives the results and messages of its coordinator. */
  private final class Node implements IntentSink {

    private final RouterId id;
    private final IntentCoordinator coordinator;
    private TableVersion installed = TableVersion.NONE;
    private boolean lost;

    Node(RouterId id) {
      this.id = id;
      Incarnation incarnation = new Incarnation(nextNumber++);
      this.coordinator = new IntentCoordinator(CELL, id, incarnation, IntentSettings.DEFAULT, this);
    }

    @Override
    public void granted(RequestId request) {
      Call call = waiting.remove(request);
      assertWithMessage("granted once").that(call).isNotNull();
      running.put(request, call);
      everSent.add(call.operation());
      boolean first = ran.add(call.operation());
      assertWithMessage("%s is sent once, at %s", call.operation(), nowMs).that(first).isTrue();
    }

    @Override
    public void refused(RequestId request, Verdict earlier, RefusalReason reason, long afterMs) {
      Call call = waiting.remove(request);
      assertWithMessage("answered once").that(call).isNotNull();
      assertWithMessage("never NOT_RUN").that(earlier).isNotEqualTo(Verdict.NOT_RUN);
      if (earlier == Verdict.RAN) {
        assertWithMessage("RAN is true").that(ran).contains(call.operation());
      }
      refusals++;
    }

    @Override
    public void send(RouterId to, PeerMessage message) {
      links
          .computeIfAbsent(List.of(id, to), link -> new ArrayDeque<>())
          .add(new Sent(message, nowMs));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void noOperationIsSentTwice(long seed) {
    random = new Random(seed);
    for (int i = 0; i < ROUTERS; i++) {
      addRouter("r" + i);
    }
    for (int step = 0; step < STEPS; step++) {
      performRandomAction(step);
    }
    for (int i = 0; i < 1_000 && !waiting.isEmpty(); i++) {
      advance(5);
    }
    assertWithMessage("every claim is answered").that(waiting).isEmpty();
    assertWithMessage("operations sent").that(everSent.size()).isAtLeast(OPERATIONS * 9 / 10);
    assertWithMessage("resends are refused").that(refusals).isGreaterThan(OPERATIONS);
  }

  private void performRandomAction(int step) {
    int choice = random.nextInt(100);
    if (choice < 20) {
      claim();
    } else if (choice < 70) {
      advance(random.nextInt(6));
    } else if (choice < 80) {
      settle();
    } else if (choice < 81) {
      dropMessagesOfLink();
    } else {
      deliverOne();
    }
    if (step % 200 == 199
        && nowMs >= STARTUP_MS
        && nowMs - lastFaultMs > MIN_FAULT_INTERVAL_MS
        && allRecovered()) {
      lastFaultMs = nowMs;
      injectFault();
    }
  }

  /**
   * Injects one fault at a time: the loss of two replicas at once may lose claims, which is outside
   * the guarantee.
   */
  private void injectFault() {
    List<Node> alive = alive();
    if (alive.size() < ROUTERS) {
      addRouter("r" + nextNumber);
      return;
    }
    Node victim = alive.get(random.nextInt(alive.size()));
    victim.lost = true;
    waiting.values().removeIf(call -> call.node() == victim);
    running.values().removeIf(call -> call.node() == victim);
    links.keySet().removeIf(link -> link.contains(victim.id));
    if (random.nextBoolean()) {
      nodes.put(victim.id, new Node(victim.id));
    } else {
      routers = new ArrayList<>(routers);
      routers.removeIf(router -> router.id().equals(victim.id));
      version = version.nextWrite();
    }
  }

  private boolean allRecovered() {
    return alive().stream()
        .allMatch(node -> node.installed.equals(version) && node.coordinator.isReady());
  }

  private void addRouter(String name) {
    RouterId id = new RouterId(name);
    routers = new ArrayList<>(routers);
    routers.add(new RegisteredRouter(id, new DataCentreId("dc"), "127.0.0.1:1", true));
    version = version.nextWrite();
    nodes.put(id, new Node(id));
  }

  private void claim() {
    Node node = anyAlive();
    int number = Math.min(OPERATIONS - 1, random.nextInt(OPERATIONS * 2));
    IdempotencyKey key = new IdempotencyKey("pay-" + number);
    OperationId operation = new OperationId(new TenantId("t"), key);
    RequestId request = new RequestId("req-" + nextNumber++);
    waiting.put(request, new Call(node, operation, request));
    node.coordinator.claim(operation, request, nowMs + TIMEOUT_MS, nowMs);
  }

  private void settle() {
    if (running.isEmpty()) {
      return;
    }
    Call call = new ArrayList<>(running.values()).get(random.nextInt(running.size()));
    running.remove(call.request());
    Verdict verdict = Verdict.values()[random.nextInt(3)];
    if (verdict == Verdict.NOT_RUN) {
      ran.remove(call.operation());
    }
    call.node().coordinator.settle(call.operation(), call.request(), verdict, nowMs);
  }

  private void dropMessagesOfLink() {
    if (!links.isEmpty()) {
      List<List<RouterId>> all = new ArrayList<>(links.keySet());
      links.get(all.get(random.nextInt(all.size()))).clear();
    }
  }

  private void advance(long byMs) {
    nowMs += byMs;
    for (Node node : alive()) {
      if (!node.installed.equals(version) && random.nextInt(8) == 0) {
        node.installed = version;
        node.coordinator.onTable(version, routers, nowMs);
      }
    }
    for (List<RouterId> link : List.copyOf(links.keySet())) {
      Deque<Sent> queue = links.get(link);
      while (!queue.isEmpty() && nowMs - queue.peek().sentAtMs() > MAX_DELAY_MS) {
        deliver(link, queue.poll());
      }
    }
    alive().forEach(node -> node.coordinator.tick(nowMs));
    if (lastFaultMs == 0 && nowMs >= STARTUP_MS) {
      assertWithMessage("new routers have completed their recovery").that(allRecovered()).isTrue();
    }
  }

  private void deliverOne() {
    List<List<RouterId>> pending =
        links.keySet().stream().filter(link -> !links.get(link).isEmpty()).toList();
    if (!pending.isEmpty()) {
      List<RouterId> link = pending.get(random.nextInt(pending.size()));
      deliver(link, links.get(link).poll());
    }
  }

  private void deliver(List<RouterId> link, Sent sent) {
    Node receiver = nodes.get(link.get(1));
    if (receiver != null && !receiver.lost) {
      receiver.coordinator.onMessage(sent.message(), link.get(0), nowMs);
    }
  }

  private List<Node> alive() {
    return nodes.values().stream().filter(node -> !node.lost).toList();
  }

  private Node anyAlive() {
    return alive().get(random.nextInt(alive().size()));
  }
}
