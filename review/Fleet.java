package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A small deployment: a store, instances of one service that is divided by key, and gateways. */
final class Fleet implements AutoCloseable {

  static final String HOST = "quotes.example";
  static final String SERVICE = "cotizador";

  private static final String CONFIGURATION =
      """
      {"version":7,"resources":[
      {"resource_kind":"routes","metadata":{"name":"menu-lookup"},"spec":{"host":"quotes.example",
      "prefix":"/menu/","kind":"idempotent","timeout":"1200ms","target_latency":"400ms",
      "priority":2,"service":"cotizador","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"booking-confirm"},"spec":{
      "host":"quotes.example","prefix":"/booking/","kind":"non_idempotent","timeout":"1500ms",
      "target_latency":"500ms","priority":1,"service":"cotizador","max_attempts":2}},
      {"resource_kind":"routes","metadata":{"name":"plan-upload"},"spec":{
      "host":"quotes.example","prefix":"/plan/","kind":"upload","timeout":"3000ms",
      "target_latency":"500ms","priority":1,"service":"cotizador","max_attempts":2}},
      {"resource_kind":"services","metadata":{"name":"cotizador"},"spec":{
      "health_path":"/healthz","max_conns":42,"protocol":"h1","tls":false,"sharded":true,
      "warm":"5s"}},
      {"resource_kind":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,
      "max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}
      """;

  final Record record;
  final Store store;
  final Gateways gateways;
  final List<Instance> instances = new CopyOnWriteArrayList<>();
  private final Path folder;
  private final String ip;

  Fleet(Record record, int gatewayCount) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review-");
    List<String> ips = Gateways.freeIps(gatewayCount + 1);
    if (ips.size() <= gatewayCount) {
      throw new IOException("the ports of a gateway are free on too few loopback addresses");
    }
    this.ip = ips.get(gatewayCount);
    this.store = new Store(ip, record);
    configure();
    List<String> zones = new ArrayList<>();
    for (int i = 0; i < gatewayCount; i++) {
      zones.add(i % 2 == 0 ? "chapinero" : "usaquen");
    }
    this.gateways =
        new Gateways(ips.subList(0, gatewayCount), zones, store.address(), folder, record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Writes the configuration, as the operator does. */
  void configure() {
    store.put("op/config", CONFIGURATION);
  }

  /** Starts an instance, which registers itself. */
  Instance addInstance(String id, String zone, long workMs) throws IOException {
    return addInstance(id, zone, workMs, 0);
  }

  /** Starts an instance on a port; on any free one if it is 0. */
  Instance addInstance(String id, String zone, long workMs, int port) throws IOException {
    int seed = 7 + instances.size();
    Instance instance = new Instance(ip, port, id, SERVICE, zone, store, record, workMs, seed);
    instances.add(instance);
    record.write("instance %s at %s starts", id, instance.address());
    return instance;
  }

  /** Starts all gateways. */
  void startGateways(boolean firstStart) throws IOException {
    for (int i = 0; i < gateways.count(); i++) {
      gateways.start(i, firstStart);
    }
  }

  /** Waits until instances hold all keys. */
  boolean awaitKeysHeld(double seconds) throws InterruptedException {
    double end = record.now() + seconds;
    while (record.now() < end) {
      if (instances.stream().mapToInt(Instance::heldKeys).sum() >= 65_536) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  @Override
  public void close() {
    gateways.close();
    instances.forEach(Instance::close);
    store.close();
    deleteFolder();
  }

  private void deleteFolder() {
    if (!Files.exists(folder) || "1".equals(System.getenv("KEEP"))) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException kept) {
      System.err.println("not deleted: " + folder + ": " + kept);
    }
  }
}
