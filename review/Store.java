package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store: items, watches, conditional writes, and leases on the real clock.
 */
final class Store extends RawServer {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final int GONE = 410;
  private static final int FAILED = 412;
  private static final int NOT_FOUND = 404;

  /** A copy of the store, from which it may come back. */
  private record Copy(Map<String, ObjectNode> items, Map<Long, Long> leases, long revision) {}

  private record Answer(int status, ObjectNode body) {}

  private final Map<String, ObjectNode> items = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final Map<Long, Long> leaseEndsMs = new HashMap<>();
  private final Map<Long, Long> leaseTtlsMs = new HashMap<>();
  private final Record record;
  private Copy copy;
  private long revision = 100;
  private long historyFrom = 100;
  private long nextLease = 1;
  private long era = 1;
  private boolean down;

  Store(String ip, Record record) throws IOException {
    super(ip, 0);
    this.record = record;
    open();
    Thread sweeper = new Thread(this::sweep, "leases");
    sweeper.setDaemon(true);
    sweeper.start();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void sweep() {
    try {
      while (true) {
        Thread.sleep(10);
        endExpiredLeases();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void endExpiredLeases() {
    if (!down) {
      long now = nowMs();
      List.copyOf(leaseEndsMs.keySet()).stream()
          .filter(lease -> leaseEndsMs.get(lease) <= now)
          .forEach(this::endLease);
    }
  }

  /** Writes an item on behalf of the operator or an instance; returns whether that succeeded. */
  synchronized boolean put(String key, String value) {
    if (down) {
      return false;
    }
    put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    return true;
  }

  /** Removes an item on behalf of an instance that has left. */
  synchronized void delete(String key) {
    if (!down) {
      remove(key);
    }
  }

  synchronized boolean has(String key) {
    return items.containsKey(key);
  }

  /** Takes the copy from which the store may come back later. */
  synchronized void takeCopy() {
    copy = new Copy(new TreeMap<>(items), new HashMap<>(leaseEndsMs), revision);
    record.write("store: copy taken at revision %d, keys %s", revision, items.keySet());
  }

  /** From now on no call is carried out or answered. */
  synchronized void goDown() {
    down = true;
    record.write("store: away");
    notifyAll();
  }

  /** Answers again; with everything that it had acknowledged. */
  synchronized void comeBack() {
    down = false;
    record.write("store: back at revision %d, keys %s", revision, items.keySet());
    notifyAll();
  }

  /** Answers again from the copy: what was written since is gone, and the era rises by one. */
  synchronized void comeBackFromCopy() {
    items.clear();
    items.putAll(copy.items());
    leaseEndsMs.clear();
    leaseEndsMs.putAll(copy.leases());
    revision = copy.revision();
    history.clear();
    historyFrom = revision;
    era++;
    down = false;
    record.write("store: back from the copy, era %d, revision %d, keys %s", era, revision,
        items.keySet());
    notifyAll();
  }

  @Override
  void handle(Connection connection, Request request) throws IOException, InterruptedException {
    Answer answer;
    synchronized (this) {
      if (down || connection.mute) {
        connection.mute = true;
        return;
      }
      JsonNode body =
          request.body().length == 0 ? JSON.createObjectNode() : JSON.readTree(request.body());
      answer =
          request.path().equals("/v1/kv-watch")
              ? watch(query(request.target()))
              : execute(request, query(request.target()), body);
      if (answer == null || down) {
        connection.mute = true;
        return;
      }
    }
    Map<String, String> headers =
        Map.of("Content-Type", "application/json", "Store-Era", Long.toString(era));
    connection.send(response(answer.status, headers, JSON.writeValueAsBytes(answer.body)));
  }

  private Answer execute(Request request, Map<String, String> query, JsonNode body) {
    String path = request.path();
    switch (path) {
      case "/v1/kv-key" -> {
        ObjectNode item = items.get(query.get("key"));
        ObjectNode found = item == null ? JSON.createObjectNode() : item.deepCopy();
        return new Answer(item == null ? NOT_FOUND : 200, found.put("store_revision", revision));
      }
      case "/v1/kv-range" -> {
        ObjectNode page = JSON.createObjectNode().put("has_more", false);
        ArrayNode found = page.putArray("items");
        items.forEach((key, item) -> addIfWithin(found, key, item, query));
        return new Answer(200, page.put("store_revision", revision));
      }
      case "/v1/kv-txn" -> {
        return transaction(body);
      }
      case "/v1/kv-lease" -> {
        String ttl = body.path("ttl_time").asText();
        long ttlMs = Long.parseLong(ttl.replace("ms", ""));
        leaseTtlsMs.put(nextLease, ttlMs);
        leaseEndsMs.put(nextLease, nowMs() + ttlMs);
        return new Answer(
            200, JSON.createObjectNode().put("lease", nextLease++).put("ttl_time", ttl));
      }
      default -> {
        return leaseCall(path);
      }
    }
  }

  private static void addIfWithin(
      ArrayNode found, String key, ObjectNode item, Map<String, String> query) {
    boolean after = query.get("after") == null || key.compareTo(query.get("after")) > 0;
    if (after && key.startsWith(query.get("prefix"))) {
      found.add(item);
    }
  }

  private Answer leaseCall(String path) {
    long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    if (!leaseEndsMs.containsKey(lease)) {
      return new Answer(NOT_FOUND, JSON.createObjectNode());
    }
    if (path.startsWith("/v1/kv-lease-end/")) {
      endLease(lease);
    } else {
      leaseEndsMs.put(lease, nowMs() + leaseTtlsMs.get(lease));
    }
    return new Answer(200, JSON.createObjectNode());
  }

  private Answer transaction(JsonNode body) {
    for (JsonNode row : body.path("expected")) {
      ObjectNode item = items.get(row.path("key").asText());
      long known = item == null ? 0 : item.path("rev").asLong();
      if (known != row.path("rev").asLong()) {
        ObjectNode conflict = JSON.createObjectNode();
        conflict.putArray("items");
        return new Answer(FAILED, conflict);
      }
    }
    for (JsonNode put : body.path("puts")) {
      long lease = put.path("lease").asLong();
      if (lease != 0 && !leaseEndsMs.containsKey(lease)) {
        return new Answer(NOT_FOUND, JSON.createObjectNode());
      }
    }
    for (JsonNode put : body.path("puts")) {
      String key = put.path("key").asText();
      record.write("store: the system writes %s", key);
      put(key, put.path("value").asText(), put.path("lease").asLong());
    }
    for (JsonNode key : body.path("remove")) {
      remove(key.asText());
    }
    return new Answer(200, JSON.createObjectNode().put("rev", revision));
  }

  private void put(String key, String encoded, long lease) {
    revision++;
    ObjectNode before = items.get(key);
    ObjectNode item = JSON.createObjectNode();
    item.put("key", key).put("value", encoded).put("rev", revision);
    item.put("created", before == null ? revision : before.path("created").asLong());
    item.put("lease", lease);
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      ObjectNode event = JSON.createObjectNode();
      history.add(event.put("key", key).put("rev", revision).put("tombstone", true));
      notifyAll();
    }
  }

  private void endLease(long lease) {
    leaseEndsMs.remove(lease);
    for (ObjectNode item : List.copyOf(items.values())) {
      if (item.path("lease").asLong() == lease) {
        record.write("store: %s ends with its lease", item.path("key").asText());
        remove(item.path("key").asText());
      }
    }
  }

  /** Returns null if the store went away meanwhile: such a call gets no answer. */
  private Answer watch(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endMs = nowMs() + Long.parseLong(query.get("wait_ms"));
    long eraBefore = era;
    ArrayNode events = eventsAfter(after, query.get("prefix"));
    while (!down && era == eraBefore && isKnown(after) && events.isEmpty() && nowMs() < endMs) {
      wait(Math.max(1, endMs - nowMs()));
      events = eventsAfter(after, query.get("prefix"));
    }
    if (down || era != eraBefore) {
      return null;
    }
    if (!isKnown(after)) {
      return new Answer(GONE, JSON.createObjectNode());
    }
    ObjectNode body = JSON.createObjectNode();
    body.set("events", events);
    return new Answer(200, body.put("store_revision", revision));
  }

  private boolean isKnown(long after) {
    return after >= historyFrom && after <= revision;
  }

  private ArrayNode eventsAfter(long after, String prefix) {
    ArrayNode events = JSON.createArrayNode();
    for (ObjectNode event : history) {
      if (event.path("rev").asLong() > after && event.path("key").asText().startsWith(prefix)) {
        events.add(event);
      }
    }
    return events;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
