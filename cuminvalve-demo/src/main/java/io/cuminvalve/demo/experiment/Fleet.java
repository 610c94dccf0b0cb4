package io.cuminvalve.demo.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cuminvalve.config.check.ConfigurationFiles;
import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.controller.ControllerMain;
import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.store.HttpKeyValueStore;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.router.RouterMain;
import io.cuminvalve.testkit.http.FaultControl;
import io.cuminvalve.testkit.process.StandInMain;
import io.cuminvalve.wire.MessagePackTableCodec;
import io.cuminvalve.wire.RecordCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/** The processes of an experiment: one service, its routers, controllers and the platform. */
final class Fleet implements AutoCloseable {

  static final CellId CELL = new CellId("claims");

  private static final int TARGETS = 8;
  private static final int ROUTERS = 3;
  private static final int CONTROLLERS = 3;
  private static final int PORTS_PER_ROUTER = 3;
  private static final int PORTS_PER_CONTROLLER = 2;
  private static final int SLOTS = 4;
  private static final int MAX_CONNECTIONS = 120;
  private static final long STORE_TIMEOUT_MS = 1_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Path folder;
  private final MessagePackTableCodec codec = new MessagePackTableCodec(new RecordCodec());
  private final HttpClient http = HttpClient.newHttpClient();
  private final BoundedHttpClient caller = new BoundedHttpClient("experiment", STORE_TIMEOUT_MS);
  private final ManagedProcess store;
  private final ManagedProcess hostList;
  private final Map<TargetId, ManagedProcess> targets = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> controllers = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> routers = new LinkedHashMap<>();
  private final List<Path> ledgers = new ArrayList<>();
  private final String storeAddress;
  private final String hostListAddress;
  private final ConfigurationFiles.Checked files;
  private final List<Instance> instances = new ArrayList<>();
  private final KeyValueStore client;

  Fleet(Path folder, Path examples) {
    this.folder = folder;
    this.files =
        ConfigurationFiles.read(
            examples.resolve("resguardo/demo/inventory.json"),
            examples.resolve("resguardo/demo/rules.json"));
    List<Integer> ports = FreePorts.find(2);
    storeAddress = address(ports.get(0));
    hostListAddress = address(ports.get(1));
    store = standIn("store", "store", "--port", ports.get(0).toString());
    hostList = standIn("host-list", "host-list", "--port", ports.get(1).toString());
    client = new HttpKeyValueStore(caller, List.of(storeAddress), STORE_TIMEOUT_MS);
    addTargets();
    addControllers();
    addRouters();
  }

  private static String address(int port) {
    return "127.0.0.1:" + port;
  }

  private ManagedProcess standIn(String name, String... arguments) {
    return new ManagedProcess(name, folder, StandInMain.class.getName(), List.of(arguments));
  }

  private void addTargets() {
    ServiceId service = new ServiceId(CELL.value());
    List<Integer> ports = FreePorts.find(TARGETS);
    for (int i = 0; i < TARGETS; i++) {
      TargetId id = new TargetId("claims-%02d".formatted(i + 1));
      Path ledger = folder.resolve(id + ".ledger");
      ledgers.add(ledger);
      instances.add(
          new Instance(id, service, dataCentre(i), address(ports.get(i)), SLOTS, MAX_CONNECTIONS));
      targets.put(
          id,
          standIn(
              id.value(),
              "target",
              id.value(),
              "--service",
              service.value(),
              "--capability",
              files.inventory().service(service).orElseThrow().capability().name(),
              "--slots",
              Integer.toString(SLOTS),
              "--max-connections",
              Integer.toString(MAX_CONNECTIONS),
              "--port",
              ports.get(i).toString(),
              "--ledger",
              ledger.toString()));
    }
  }

  private DataCentreId dataCentre(int number) {
    return files
        .inventory()
        .dataCentres()
        .get(number % files.inventory().dataCentres().size())
        .id();
  }

  private void addControllers() {
    List<Integer> ports = FreePorts.find(CONTROLLERS * PORTS_PER_CONTROLLER);
    for (int i = 0; i < CONTROLLERS; i++) {
      String id = "control-" + i;
      Map<String, Object> settings = commonSettings(id, i);
      settings.put("peerAddress", address(ports.get(i * PORTS_PER_CONTROLLER)));
      settings.put("adminAddress", address(ports.get(i * PORTS_PER_CONTROLLER + 1)));
      controllers.put(id, program(id, ControllerMain.class, settings));
    }
  }

  private void addRouters() {
    List<Integer> ports = FreePorts.find(ROUTERS * PORTS_PER_ROUTER);
    for (int i = 0; i < ROUTERS; i++) {
      Map<String, Object> settings = commonSettings("entry-" + i, i);
      String callers = address(ports.get(i * PORTS_PER_ROUTER));
      settings.put("callerAddress", callers);
      settings.put("peerAddress", address(ports.get(i * PORTS_PER_ROUTER + 1)));
      settings.put("adminAddress", address(ports.get(i * PORTS_PER_ROUTER + 2)));
      List<String> seeds = new ArrayList<>();
      for (int other = 0; other < ROUTERS; other++) {
        if (other != i) {
          seeds.add(address(ports.get(other * PORTS_PER_ROUTER + 1)));
        }
      }
      settings.put("seedPeerAddresses", seeds);
      routers.put(callers, program("entry-" + i, RouterMain.class, settings));
    }
  }

  private Map<String, Object> commonSettings(String id, int number) {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("id", id);
    settings.put("dataCentre", dataCentre(number).value());
    settings.put("sharedKeyPath", folder.resolve("shared.key").toString());
    settings.put("storeAddresses", List.of(storeAddress));
    settings.put("hostListAddresses", List.of(hostListAddress));
    settings.put("cells", List.of(CELL.value()));
    return settings;
  }

  private ManagedProcess program(String id, Class<?> main, Map<String, Object> settings) {
    Path file = folder.resolve(id + ".json");
    try {
      Files.write(file, JSON.writeValueAsBytes(settings));
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot write settings", e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new ManagedProcess(id, folder, main.getName(), List.of("--settings", file.toString()));
  }

  /** Starts every process, publishes the configuration and returns at once. */
  void start() throws InterruptedException {
    writeSharedKey();
    caller.start();
    store.start();
    hostList.start();
    targets.values().forEach(ManagedProcess::start);
    Await.until(this::publish, "the store does not answer");
    controllers.values().forEach(ManagedProcess::start);
    routers.values().forEach(ManagedProcess::start);
    Await.until(this::announceHosts, "the host list does not answer");
  }

  private void writeSharedKey() {
    try {
      Files.writeString(folder.resolve("shared.key"), UUID.randomUUID().toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean announceHosts() {
    return targets.keySet().stream()
        .allMatch(id -> call("PUT", hostListAddress, "/standin/hosts/" + id, "") == 200);
  }

  private boolean publish() {
    Service service = files.inventory().service(new ServiceId(CELL.value())).orElseThrow();
    Inventory inventory =
        new Inventory(files.inventory().dataCentres(), List.of(service), instances);
    Configuration configuration =
        new Configuration(
            1,
            new PublicationId(UUID.randomUUID().toString()),
            "experiment",
            "",
            inventory,
            files.rules().stream().filter(rule -> rule.service().equals(service.id())).toList());
    client
        .write(
            ConfigurationCodec.STORE_KEY,
            ConfigurationCodec.encode(configuration),
            KeyValueStore.ABSENT,
            Optional.empty())
        .join();
    // The reply may have been lost on a busy machine: what counts is what the store holds.
    return read(ConfigurationCodec.STORE_KEY).isPresent();
  }

  private int call(String method, String address, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  void setStoreDown(boolean down) {
    call("PUT", storeAddress, FaultControl.FAULTS_PATH, "{\"down\":" + down + "}");
  }

  /** Reads the newest table that the store has, if it answers. */
  Optional<ShardTable> table() {
    return read(StoreKeys.table(CELL)).map(value -> codec.decodeTable(value.value()).table());
  }

  /** Returns the controller that holds the term. */
  ManagedProcess holder() {
    StoreValue value = read(StoreKeys.term(CELL)).orElseThrow();
    return controllers.get(codec.decodeTerm(value.value()).holder().value());
  }

  private Optional<StoreValue> read(String key) {
    return client.read(key).join().value();
  }

  ManagedProcess target(TargetId id) {
    return targets.get(id);
  }

  ManagedProcess router(int number) {
    return routers.values().stream().skip(number).findFirst().orElseThrow();
  }

  List<String> routerAddresses() {
    return List.copyOf(routers.keySet());
  }

  int shardCount() {
    return files.inventory().service(new ServiceId(CELL.value())).orElseThrow().shardCount();
  }

  List<Path> ledgers() {
    return ledgers.stream().filter(Files::exists).toList();
  }

  int size() {
    return 2 + targets.size() + controllers.size() + routers.size();
  }

  @Override
  public void close() {
    routers.values().forEach(ManagedProcess::kill);
    controllers.values().forEach(ManagedProcess::kill);
    targets.values().forEach(ManagedProcess::kill);
    hostList.kill();
    store.kill();
    caller.stop();
  }
}
