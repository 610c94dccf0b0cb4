import java.util.List;
import java.util.function.BooleanSupplier;

/** What several cases share: a small configuration, and waiting. */
final class Lab {

  static final String HOST = "claims.example";

  /** Exit statuses; run.sh makes 1 of the first, which is none that a JVM that fails has. */
  static final int BROKEN = 10;

  static final int HELD = 0;
  static final int NOT_RUN = 2;

  private Lab() {}

  /** A sharded service for reads and payments, and one without shards for files. */
  static String configuration(int version) {
    return "{\"version\":" + version + ",\"resources\":["
        + route("reads", "/reads/", "idempotent", "core")
        + route("payments", "/payments/", "non_idempotent", "core")
        + route("files", "/files/", "upload", "files")
        + route("lists", "/lists/", "idempotent", "files")
        + "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"core\"},\"spec\":{"
        + "\"health_path\":\"/healthz\",\"max_conns\":120,\"protocol\":\"h1\",\"tls\":false,"
        + "\"sharded\":true,\"warm\":\"3s\",\"grants\":\"invoke\"}},"
        + "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"files\"},\"spec\":{"
        + "\"health_path\":\"/healthz\",\"max_conns\":120,\"protocol\":\"h1\",\"tls\":false}},"
        + "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
  }

  private static String route(String name, String prefix, String kind, String service) {
    return "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{"
        + "\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\","
        + "\"timeout\":\"5000ms\",\"target_latency\":\"1000ms\",\"priority\":1,"
        + "\"service\":\"" + service + "\",\"max_attempts\":2}},";
  }

  static boolean await(long limitMs, BooleanSupplier condition) {
    long endMs = System.currentTimeMillis() + limitMs;
    while (!condition.getAsBoolean()) {
      if (System.currentTimeMillis() > endMs) {
        return false;
      }
      Store.sleep(20);
    }
    return true;
  }

  /** Returns whether each key is held by an instance. */
  static boolean allHeld(List<Instance> instances) {
    long nowMs = System.nanoTime() / 1_000_000;
    boolean[] any = new boolean[Instance.KEYS];
    boolean[] held = new boolean[Instance.KEYS];
    for (Instance instance : instances) {
      instance.copyHeld(nowMs, held);
      for (int key = 0; key < Instance.KEYS; key++) {
        any[key] |= held[key];
      }
    }
    for (boolean each : any) {
      if (!each) {
        return false;
      }
    }
    return true;
  }
}
