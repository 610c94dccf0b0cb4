import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keys with revisions, leases that end by the real clock, watches, drills. */
final class Store implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long COPY_MS = 250;
  private static final String ENTRIES = "servers/";

  /** Three heartbeats of 870 ms. */
  private static final long SILENCE_MS = 2_610;

  private record Item(String value, long rev, long created, long lease) {}

  private record Event(long rev, String key, Item item) {}

  private record Lease(long ttlMs, long endsMs) {}

  private record Copy(long atMs, Map<String, Item> items, Map<Long, Lease> leases, long revision) {}

  private final Record record;
  private final Http.Server server;
  private final Map<String, Item> items = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<String, Long> writtenMs = new HashMap<>();
  private final Deque<Copy> copies = new ArrayDeque<>();
  private long revision = 1;
  private long compactedTo;
  private long nextLease = 1;
  private long era;
  private volatile boolean away;
  private volatile boolean closed;

  Store(Record record, String host) throws IOException {
    this(record, host, 1);
  }

  /** Starts a store whose eras are counted from a number. */
  Store(Record record, String host, long firstEra) throws IOException {
    this.record = record;
    this.era = firstEra;
    this.server = new Http.Server(host, 0, this::handle);
    Http.start(this::tick);
  }

  int port() {
    return server.port();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Ends leases by time, and takes copies for drills. */
  private void tick() {
    long copiedMs = 0;
    while (!closed) {
      synchronized (this) {
        long now = nowMs();
        for (Map.Entry<Long, Lease> lease : Map.copyOf(leases).entrySet()) {
          if (!away && lease.getValue().endsMs() <= now) {
            endLease(lease.getKey());
          }
        }
        for (String key : new ArrayList<>(items.keySet())) {
          boolean silent = now - writtenMs.getOrDefault(key, now) > SILENCE_MS;
          if (!away && key.startsWith(ENTRIES) && silent) {
            remove(key);
          }
        }
        if (!away && now - copiedMs >= COPY_MS) {
          copiedMs = now;
          copies.addLast(new Copy(now, new TreeMap<>(items), new HashMap<>(leases), revision));
          if (copies.size() > 400) {
            copies.removeFirst();
          }
        }
      }
      sleep(20);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** The store goes away: connections are reset, and calls get no answer. */
  void goAway() {
    record.write("store: away");
    away = true;
    synchronized (this) {
      notifyAll();
    }
    server.dropConnections();
  }

  /** The store comes back from a copy of some age, in its next era. */
  synchronized void comeBackOlder(long ageMs) {
    long wantedMs = nowMs() - ageMs;
    Copy copy = copies.peekFirst();
    for (Copy each : copies) {
      if (each.atMs() <= wantedMs) {
        copy = each;
      }
    }
    record.write("store: back from a copy of " + (nowMs() - copy.atMs()) + " ms, with " + copy.items().keySet());
    items.clear();
    items.putAll(copy.items());
    leases.clear();
    copy.leases().forEach((id, lease) -> leases.put(id, new Lease(lease.ttlMs(), nowMs() + lease.ttlMs())));
    revision = copy.revision();
    history.clear();
    compactedTo = revision;
    copies.clear();
    items.keySet().forEach(key -> writtenMs.put(key, nowMs()));
    era++;
    away = false;
    notifyAll();
  }

  /** The store comes back with everything. Leases have paused meanwhile. */
  synchronized void comeBack() {
    record.write("store: back");
    leases.replaceAll((id, lease) -> new Lease(lease.ttlMs(), nowMs() + lease.ttlMs()));
    items.keySet().forEach(key -> writtenMs.put(key, nowMs()));
    away = false;
  }

  /** The store comes back; leases and the entries of instances have run out meanwhile. */
  synchronized void comeBackLapsed() {
    List.copyOf(leases.keySet()).forEach(this::endLease);
    for (String key : new ArrayList<>(items.keySet())) {
      if (key.startsWith(ENTRIES)) {
        remove(key);
      }
    }
    record.write("store: back, leases and entries have run out");
    away = false;
    notifyAll();
  }

  /** Writes for the operator or an instance. Returns false while the store is away. */
  synchronized boolean put(String key, String value) {
    if (away) {
      return false;
    }
    write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    return true;
  }

  synchronized boolean has(String key) {
    return items.containsKey(key);
  }

  /** Returns the decoded value of a key; empty if there is none. */
  synchronized String value(String key) {
    Item item = items.get(key);
    return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.ISO_8859_1);
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Event(revision, key, null));
      notifyAll();
    }
  }

  private void write(String key, String value, long lease) {
    revision++;
    Item before = items.get(key);
    writtenMs.put(key, nowMs());
    Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    history.add(new Event(revision, key, item));
    notifyAll();
  }

  private void endLease(long id) {
    leases.remove(id);
    for (Map.Entry<String, Item> entry : new TreeMap<>(items).entrySet()) {
      if (entry.getValue().lease() == id) {
        remove(entry.getKey());
      }
    }
  }

  private byte[] handle(Http.Message request, Socket connection) throws Exception {
    if (away) {
      return null;
    }
    String path = request.path();
    if (path.equals("/v1/kv-watch")) {
      return watch(request);
    }
    synchronized (this) {
      if (path.equals("/v1/kv-key")) {
        String key = request.query("key");
        Item item = items.get(key);
        ObjectNode body = item == null ? JSON.createObjectNode() : node(key, item);
        return answer(item == null ? 404 : 200, body.put("store_revision", revision));
      }
      if (path.equals("/v1/kv-range")) {
        return answer(200, range(request));
      }
      if (path.equals("/v1/kv-txn")) {
        return transact(JSON.readTree(request.body()));
      }
      if (path.equals("/v1/kv-lease")) {
        String ttl = JSON.readTree(request.body()).path("ttl_time").asText();
        long ttlMs = Long.parseLong(ttl.replace("ms", ""));
        leases.put(nextLease, new Lease(ttlMs, nowMs() + ttlMs));
        return answer(200, JSON.createObjectNode().put("lease", nextLease++).put("ttl_time", ttl));
      }
      long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
      Lease lease = leases.get(id);
      if (lease == null) {
        return answer(404, JSON.createObjectNode());
      }
      if (path.startsWith("/v1/kv-lease-end/")) {
        endLease(id);
      } else {
        leases.put(id, new Lease(lease.ttlMs(), nowMs() + lease.ttlMs()));
      }
      return answer(200, JSON.createObjectNode());
    }
  }

  private ObjectNode range(Http.Message request) {
    String after = request.query("after");
    ObjectNode page = JSON.createObjectNode().put("has_more", false);
    ArrayNode found = page.putArray("items");
    items.forEach(
        (key, item) -> {
          if (key.startsWith(request.query("prefix")) && (after == null || key.compareTo(after) > 0)) {
            found.add(node(key, item));
          }
        });
    return page.put("store_revision", revision);
  }

  private byte[] transact(JsonNode body) {
    ArrayNode now = JSON.createArrayNode();
    boolean met = true;
    for (JsonNode row : body.path("expected")) {
      Item item = items.get(row.path("key").asText());
      met &= (item == null ? 0 : item.rev()) == row.path("rev").asLong();
      if (item != null) {
        now.add(node(row.path("key").asText(), item));
      }
    }
    if (!met) {
      ObjectNode state = JSON.createObjectNode();
      state.set("items", now);
      return answer(412, state);
    }
    for (JsonNode put : body.path("puts")) {
      long lease = put.path("lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return answer(404, JSON.createObjectNode());
      }
    }
    for (JsonNode put : body.path("puts")) {
      write(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
    }
    for (JsonNode key : body.path("remove")) {
      remove(key.asText());
    }
    return answer(200, JSON.createObjectNode().put("rev", revision));
  }

  private synchronized byte[] watch(Http.Message request) throws InterruptedException {
    long after = Long.parseLong(request.query("after"));
    String prefix = request.query("prefix");
    long endMs = nowMs() + Long.parseLong(request.query("wait_ms"));
    long began = era;
    while (!away && era == began && after >= compactedTo && events(after, prefix).isEmpty()) {
      long leftMs = endMs - nowMs();
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    if (away || closed) {
      return null;
    }
    if (era != began || after < compactedTo || after > revision) {
      return answer(410, JSON.createObjectNode());
    }
    ObjectNode body = JSON.createObjectNode();
    body.set("events", events(after, prefix));
    return answer(200, body.put("store_revision", revision));
  }

  private ArrayNode events(long after, String prefix) {
    ArrayNode events = JSON.createArrayNode();
    for (Event event : history) {
      if (event.rev() > after && event.key().startsWith(prefix)) {
        events.add(
            event.item() == null
                ? JSON.createObjectNode().put("key", event.key()).put("rev", event.rev()).put("tombstone", true)
                : node(event.key(), event.item()));
      }
    }
    return events;
  }

  private static ObjectNode node(String key, Item item) {
    return JSON.createObjectNode()
        .put("key", key)
        .put("value", item.value())
        .put("rev", item.rev())
        .put("created", item.created())
        .put("lease", item.lease());
  }

  private byte[] answer(int status, ObjectNode body) {
    return Http.response(
        status,
        Map.of("Content-Type", "application/json", "Store-Era", Long.toString(era)),
        body.toString());
  }

  @Override
  public void close() {
    closed = true;
    away = true;
    synchronized (this) {
      notifyAll();
    }
    server.close();
  }
}
