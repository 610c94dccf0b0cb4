import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/** An instance of a service: holds keys by grants, runs requests, and registers itself. */
final class Instance implements AutoCloseable {

  static final int KEYS = 65_536;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long HEARTBEAT_MS = 870;

  private final Record record;
  private final Store store;
  private final String id;
  private final String service;
  private final boolean sharded;
  private final int slots;
  private final long born = System.currentTimeMillis();
  private final Http.Server server;
  private final long[] seen = new long[KEYS];
  private final long[] heldToMs = new long[KEYS];
  private volatile ToLongFunction<Http.Message> workMs = request -> 5;
  private volatile boolean closed;
  private volatile boolean left;
  private volatile long silentUntilMs;
  private long seq;

  Instance(Record record, Store store, String host, String id, String service, boolean sharded, int slots)
      throws IOException {
    this(record, store, host, 0, id, service, sharded, slots);
  }

  /** Starts an instance at a port; 0 for any free one. */
  Instance(
      Record record, Store store, String host, int port, String id, String service, boolean sharded, int slots)
      throws IOException {
    this.record = record;
    this.store = store;
    this.id = id;
    this.service = service;
    this.sharded = sharded;
    this.slots = slots;
    this.server = new Http.Server(host, port, this::handle);
    record.write(id + ": started at port " + server.port());
    Http.start(this::beat);
  }

  String id() {
    return id;
  }

  int port() {
    return server.port();
  }

  /** Writes no entry for a time. */
  void keepSilentFor(long ms) {
    silentUntilMs = nowMs() + ms;
  }

  /** Takes its entry away, without having reported that it leaves, and goes on serving. */
  void leave() {
    left = true;
    record.write(id + ": its entry is removed, it goes on serving");
    store.remove("servers/" + id);
  }

  /** Sets how long each request is worked on. */
  void workFor(ToLongFunction<Http.Message> ms) {
    workMs = ms;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void beat() {
    while (!closed && !left) {
      long quietMs = silentUntilMs - nowMs();
      if (quietMs > 0) {
        Store.sleep(Math.min(quietMs, 50));
        continue;
      }
      store.put(
          "servers/" + id,
          String.format(
              "{\"address\":\"127.0.0.1:%d\",\"born\":%d,"
                  + "\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"z-1\",\"slots\":%d},"
                  + "\"status\":{\"state\":\"ready\",\"seq\":%d,\"cold_remaining\":\"0ms\"}}",
              server.port(), born, service, slots, ++seq));
      Store.sleep(HEARTBEAT_MS);
    }
  }

  /** Returns whether it holds a key now. */
  synchronized boolean holds(int key, long atMs) {
    return heldToMs[key] > atMs;
  }

  /** Marks the keys that it holds at a time. */
  synchronized void copyHeld(long atMs, boolean[] to) {
    for (int key = 0; key < KEYS; key++) {
      to[key] = heldToMs[key] > atMs;
    }
  }

  private byte[] handle(Http.Message request, Socket connection) throws Exception {
    String named = request.header("X-Target-Instance");
    if (named != null && !named.equals(id)) {
      return Http.response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id), "");
    }
    if (request.path().equals("/v1/grant")) {
      return grant(JSON.readTree(request.body()));
    }
    if (request.path().equals("/v1/release")) {
      return release(JSON.readTree(request.body()));
    }
    return run(request);
  }

  private synchronized byte[] grant(JsonNode body) {
    int from = body.path("from").asInt();
    int to = body.path("target").asInt();
    long fence = body.path("fence").asLong();
    long holdMs = Long.parseLong(body.path("hold_time").asText().replace("ms", ""));
    for (int key = from; key <= to; key++) {
      if (seen[key] > fence) {
        record.write(id + ": refuses keys " + from + "-" + to + " fence " + fence);
        return Http.response(409, Map.of(), "");
      }
    }
    boolean news = heldToMs[from] <= nowMs();
    Arrays.fill(seen, from, to + 1, fence);
    Arrays.fill(heldToMs, from, to + 1, nowMs() + holdMs);
    if (news || holdMs > 5_000) {
      record.write(id + ": granted keys " + from + "-" + to + " fence " + fence + " for " + holdMs + " ms");
    }
    return Http.response(200, Map.of("Content-Type", "application/json"), "{}");
  }

  private synchronized byte[] release(JsonNode body) {
    int from = body.path("from").asInt();
    int to = body.path("target").asInt();
    long fence = body.path("fence").asLong();
    for (int key = from; key <= to; key++) {
      seen[key] = Math.max(seen[key], fence);
    }
    Arrays.fill(heldToMs, from, to + 1, 0);
    record.write(id + ": released keys " + from + "-" + to + " fence " + fence);
    return Http.response(200, Map.of("X-Handover", id + "-" + fence + "-" + from), "");
  }

  private byte[] run(Http.Message request) {
    String attempt = request.header("X-Attempt-Id");
    Map<String, String> headers = new LinkedHashMap<>();
    if (attempt == null) {
      return Http.response(400, Map.of("X-Not-Executed", "1"), "");
    }
    headers.put("X-Attempt-Id", attempt);
    headers.put("X-Instance-Id", id);
    String key = request.header("X-Shard-Key");
    if (sharded && (key == null || !holds(Integer.parseInt(key), nowMs()))) {
      headers.put("X-Not-Executed", "1");
      record.write(id + ": rejects " + attempt + " key " + key);
      return Http.response(421, headers, "");
    }
    String deadline = request.header("X-Deadline-Ms");
    long limitMs = deadline == null ? Long.MAX_VALUE : Long.parseLong(deadline);
    long ms = workMs.applyAsLong(request);
    record.write(id + ": runs " + attempt + (key == null ? "" : " key " + key) + ", told " + deadline + " ms");
    Store.sleep(Math.min(ms, limitMs));
    headers.put("X-Response-Signature", "signed-by-" + id);
    return Http.response(ms > limitMs ? 504 : 200, headers, "answer to " + attempt);
  }

  @Override
  public void close() {
    closed = true;
    server.close();
  }
}
