package io.cuminvalve.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.LoadReport;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.KeySource;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.request.IntentListener;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.target.TargetRecord;
import io.cuminvalve.wire.PeerNetwork;
import io.cuminvalve.wire.PeerNetworkCounters;
import io.cuminvalve.wire.Reachability;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Slots and claims of several routers, joined by a network in memory and a clock of the test. */
class CellDesksTest {

  private static final CellId CELL = new CellId("claims");
  private static final TargetId TARGET = new TargetId("claims-01");
  private static final Instance INSTANCE =
      new Instance(
          TARGET, new ServiceId("claims"), new DataCentreId("dc-1"), "127.0.0.1:9001", 2, 8);

  private final Map<String, CellDesks> routers = new HashMap<>();
  private final Queue<Runnable> inFlight = new ArrayDeque<>();
  private final Queue<Runnable> executor = new ArrayDeque<>();
  private final List<String> heard = new ArrayList<>();
  private long nowMs = 10_000;
  private int requests;

  @Test
  void slotsAreSharedByAllRouters() {
    start("r1", "r2", "r3");
    final CellDesks.Permit first = ask("r1", "a");
    ask("r2", "b");
    ask("r3", "c");
    settle();
    assertThat(heard).hasSize(2);

    first.release(SlotUse.ANSWERED);
    settle();

    assertThat(heard).hasSize(3);
  }

  @Test
  void withdrawnGrantThatIsOnItsWayGivesItsSlotBack() {
    start("r1");
    ask("r1", "a");
    CellDesks.Permit second = ask("r1", "b");
    CellDesks.Permit third = ask("r1", "c");
    settle();
    second.release(SlotUse.ANSWERED);
    // The grant of the third waits in the executor when its request gives up.
    third.withdraw();
    ask("r1", "d");
    settle();

    assertThat(heard).contains("d granted");
  }

  @Test
  void secondRequestWithTheSameKeyIsRefusedAtAnotherRouter() {
    start("r1", "r2", "r3");
    final RequestContext first = claim("r1", "a", "pay-1");
    claim("r2", "b", "pay-1");
    settle();
    assertThat(heard).containsExactly("a granted", "b refused DUPLICATE_IN_FLIGHT");

    routers.get("r1").settle(first, Verdict.RAN);
    settle();
    claim("r3", "c", "pay-1");
    settle();

    assertThat(heard).contains("c refused ALREADY_RAN");
  }

  @Test
  void circuitOpensAfterFailuresInSuccession() {
    start(List.of(INSTANCE, other("claims-02"), other("claims-03")), "r1");
    for (int i = 0; i < 5; i++) {
      CellDesks.Permit permit = ask("r1", "f" + i);
      permit.release(SlotUse.NOT_CONNECTED);
    }
    heard.clear();
    ask("r1", "next");
    settle();

    assertThat(heard).containsExactly("next refused CIRCUIT_OPEN");
  }

  @Test
  void loadIsTheTimeThatRequestsHeldSlots() {
    start("r1");
    CellDesks.Permit permit = ask("r1", "a");
    settle();
    permit.release(SlotUse.ANSWERED);
    LoadReport report = routers.get("r1").loadReport().orElseThrow();

    assertThat(report.shards()).isEqualTo(new int[1]);
    assertThat(report.keyHashes()).isEqualTo(new long[] {KeyHasher.hash("claim-7")});
    assertThat(report.totalPerSecond()).isGreaterThan(0.0);
  }

  @Test
  void refusesEverythingOnceClosed() {
    start("r1");
    routers.get("r1").close();
    ask("r1", "late");
    settle();

    assertThat(heard).containsExactly("late refused ROUTER_STOPPING");
  }

  private void start(String... names) {
    start(List.of(INSTANCE), names);
  }

  private void start(List<Instance> instances, String... names) {
    List<RegisteredRouter> registered = new ArrayList<>();
    for (String name : names) {
      registered.add(
          new RegisteredRouter(new RouterId(name), new DataCentreId("dc-1"), name, true));
      routers.put(
          name,
          new CellDesks(
              CELL,
              new RouterId(name),
              new Incarnation(name.hashCode()),
              new MemoryNetwork(name),
              executor::add,
              () -> nowMs));
    }
    ShardTable table =
        new ShardTable(
            CELL,
            new TableVersion(1, 1, 0),
            1,
            registered,
            List.of(),
            List.of(TARGET),
            new int[1],
            new int[1],
            new int[] {ShardTable.NO_TARGET},
            new long[1]);
    routers.values().forEach(desks -> desks.onTargets(instances));
    routers.values().forEach(desks -> desks.onTable(table));
    settle();
  }

  private static Instance other(String name) {
    return new Instance(
        new TargetId(name),
        new ServiceId("claims"),
        new DataCentreId("dc-1"),
        "127.0.0.1:9002",
        2,
        8);
  }

  private CellDesks.Permit ask(String router, String name) {
    TargetRecord target =
        new TargetRecord(TARGET, new InetSocketAddress("127.0.0.1", 9001), () -> nowMs);
    CellDesks.Permit permit =
        routers.get(router).prepare(context(null), new Slot(CELL, target, 0), new Hearing(name));
    permit.start();
    return permit;
  }

  private RequestContext claim(String router, String name, String key) {
    RequestContext context = context(new IdempotencyKey(key));
    routers.get(router).claim(context, new Hearing(name));
    settle();
    return context;
  }

  private RequestContext context(IdempotencyKey key) {
    requests++;
    RequestRule rule =
        new RequestRule(
            new RuleId("payout"),
            new ServiceId("claims"),
            "POST",
            "/claims/{claim}",
            new KeySource(KeySource.Place.PATH, "claim"),
            "payout",
            false,
            RequestClass.INTERACTIVE,
            5_000,
            false);
    return new RequestContext(
        new RequestId("request-" + requests),
        rule,
        new TenantId("default"),
        "claim-7",
        key,
        nowMs,
        nowMs + 5_000);
  }

  /** Delivers every message and answer, and lets some time pass. */
  private void settle() {
    for (int i = 0; i < 50; i++) {
      run(inFlight);
      run(executor);
      nowMs += 10;
      routers.values().forEach(CellDesks::onTick);
    }
  }

  private static void run(Queue<Runnable> tasks) {
    Runnable next = tasks.poll();
    while (next != null) {
      next.run();
      next = tasks.poll();
    }
  }

  /** Keeps what a request hears. */
  private final class Hearing implements SlotListener, IntentListener {

    private final String name;

    Hearing(String name) {
      this.name = name;
    }

    @Override
    public void onAdmitted(Slot slot) {
      heard.add(name + " granted");
    }

    @Override
    public void onGranted() {
      heard.add(name + " granted");
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMs) {
      heard.add(name + " refused " + reason);
    }

    @Override
    public void onRefused(Verdict earlier, RefusalReason reason, long retryAfterMs) {
      heard.add(name + " refused " + reason);
    }
  }

  /** Queues messages until the test delivers them. */
  private final class MemoryNetwork implements PeerNetwork {

    private final String self;

    MemoryNetwork(String self) {
      this.self = self;
    }

    @Override
    public String localAddress() {
      return self;
    }

    @Override
    public void send(String peerAddress, PeerMessage message) {
      inFlight.add(() -> routers.get(peerAddress).onMessage(message, self));
    }

    @Override
    public void connect(String peerAddress) {}

    @Override
    public Reachability reachability(String peerAddress) {
      return Reachability.CONNECTED;
    }

    @Override
    public CompletableFuture<Reachability> probe(String peerAddress) {
      return CompletableFuture.completedFuture(Reachability.CONNECTED);
    }

    @Override
    public PeerNetworkCounters counters() {
      throw new UnsupportedOperationException("not asked for");
    }

    @Override
    public void retain(Set<String> peerAddresses) {}

    @Override
    public void close() {}
  }
}
