package io.cuminvalve.demo;

import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.config.settings.TrafficSettings;
import io.cuminvalve.controller.Controller;
import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.DataCentre;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.store.HttpKeyValueStore;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.WriteResult;
import io.cuminvalve.router.Router;
import io.cuminvalve.testkit.hostlist.HostListStandIn;
import io.cuminvalve.testkit.hostlist.HostState;
import io.cuminvalve.testkit.ledger.ExecutionLedger;
import io.cuminvalve.testkit.store.StoreStandIn;
import io.cuminvalve.testkit.target.TargetSettings;
import io.cuminvalve.testkit.target.TargetStandIn;
import io.cuminvalve.testkit.time.TaskScheduler;
import io.cuminvalve.wire.MessagePackTableCodec;
import io.cuminvalve.wire.RecordCodec;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Every process of the system and of its surroundings, in one process on loopback. */
final class DemoCluster implements AutoCloseable {

  private static final int REPLICAS = 3;
  private static final long WORK_MS = 4;
  private static final int QUEUE_LENGTH = 16;
  private static final long STORE_TIMEOUT_MS = 1_000;

  private final MillisClock clock = MillisClock.system();
  private final TaskScheduler scheduler = TaskScheduler.system();
  private final ExecutionLedger ledger = new ExecutionLedger();
  private final StoreStandIn store = new StoreStandIn(clock, scheduler, 0);
  private final HostListStandIn hostList = new HostListStandIn(scheduler, 0);
  private final Map<TargetId, TargetStandIn> targets = new LinkedHashMap<>();
  private final List<Controller> controllers = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final BoundedHttpClient caller = new BoundedHttpClient("demo", STORE_TIMEOUT_MS);
  private final SharedKey sharedKey = new SharedKey(UUID.randomUUID().toString());
  private final MessagePackTableCodec tableCodec = new MessagePackTableCodec(new RecordCodec());
  private final DemoConfiguration configuration;
  private KeyValueStore client;
  private long revision;

  DemoCluster(DemoConfiguration files) {
    store.start();
    hostList.start();
    for (Instance instance : files.inventory().instances()) {
      startTarget(instance, files);
    }
    Map<TargetId, String> addresses = new LinkedHashMap<>();
    targets.forEach((id, target) -> addresses.put(id, target.address()));
    configuration = files.withAddresses(addresses);
  }

  private void startTarget(Instance instance, DemoConfiguration files) {
    TargetSettings settings =
        new TargetSettings(
            instance.id(),
            instance.service(),
            files.inventory().service(instance.service()).orElseThrow().capability(),
            instance.slots(),
            QUEUE_LENGTH,
            instance.maxConnections(),
            0,
            WORK_MS,
            0);
    TargetStandIn target =
        new TargetStandIn(
            settings,
            clock,
            scheduler,
            ledger,
            () -> ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
    target.start();
    targets.put(instance.id(), target);
    hostList.report(instance.id(), HostState.LIVE);
  }

  /** Publishes the configuration and starts controllers and routers. */
  void start() {
    caller.start();
    client = new HttpKeyValueStore(caller, List.of(store.address()), STORE_TIMEOUT_MS);
    publish(configuration, "first");
    List<DataCentre> dataCentres = configuration.inventory().dataCentres();
    for (int i = 0; i < REPLICAS; i++) {
      DataCentreId dataCentre = dataCentres.get(i % dataCentres.size()).id();
      Controller controller = Controller.overHttp(controllerSettings(i, dataCentre), sharedKey);
      controllers.add(controller);
      controller.start();
    }
    for (int i = 0; i < REPLICAS; i++) {
      DataCentreId dataCentre = dataCentres.get(i % dataCentres.size()).id();
      Router router = new Router(routerSettings(i, dataCentre), sharedKey, client);
      routers.add(router);
      router.start();
    }
  }

  /** Publishes a configuration as an operator does, by compare-and-swap. */
  void publish(DemoConfiguration published, String reason) {
    Configuration document =
        new Configuration(
            1,
            new PublicationId(UUID.randomUUID().toString()),
            "demo",
            reason,
            published.inventory(),
            published.rules());
    WriteResult result =
        client
            .write(
                ConfigurationCodec.STORE_KEY,
                ConfigurationCodec.encode(document),
                revision,
                Optional.empty())
            .join();
    if (result.outcome() != StoreOutcome.DONE) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "cannot publish: " + result.outcome());
    }
    revision = result.revision();
  }

  DemoConfiguration configuration() {
    return configuration;
  }

  List<CellId> cells() {
    return configuration.inventory().services().stream()
        .map(service -> new CellId(service.id().value()))
        .toList();
  }

  Optional<ShardTable> table(CellId cell) {
    return store.peek(StoreKeys.table(cell)).map(bytes -> tableCodec.decodeTable(bytes).table());
  }

  List<String> routerAddresses() {
    return routers.stream().map(router -> "127.0.0.1:" + router.callerPort()).toList();
  }

  boolean isReady() {
    return routers.stream().allMatch(Router::isReady);
  }

  ExecutionLedger ledger() {
    return ledger;
  }

  TargetStandIn target(TargetId id) {
    return targets.get(id);
  }

  /** A target's host is lost: no answer any more, and the host list notices late. */
  void lose(TargetId id) {
    targets.get(id).kill();
    hostList.faults().setLagMs(5_000);
    hostList.remove(id);
    hostList.faults().setLagMs(0);
  }

  void drain(TargetId id) {
    targets.get(id).startDraining();
    hostList.report(id, HostState.LEAVING);
  }

  private ControllerSettings controllerSettings(int number, DataCentreId dataCentre) {
    return new ControllerSettings(
        new ControllerId("control-" + number),
        dataCentre,
        loopback(),
        loopback(),
        Path.of("unused.key"),
        List.of(parse(store.address())),
        List.of(parse(hostList.address())),
        cells(),
        AuthorityTimings.DEFAULT);
  }

  private RouterSettings routerSettings(int number, DataCentreId dataCentre) {
    return new RouterSettings(
        new RouterId("entry-" + number),
        dataCentre,
        loopback(),
        loopback(),
        loopback(),
        Path.of("unused.key"),
        List.of(parse(store.address())),
        List.of(parse(hostList.address())),
        List.of(),
        cells(),
        AuthorityTimings.DEFAULT,
        TrafficSettings.defaults());
  }

  private static InetSocketAddress loopback() {
    return new InetSocketAddress("127.0.0.1", 0);
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  @Override
  public void close() {
    routers.forEach(Router::kill);
    controllers.forEach(Controller::kill);
    targets.values().forEach(TargetStandIn::close);
    caller.stop();
    hostList.close();
    store.close();
  }
}
