package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;

/**
 * An instance of a service that is divided by key. It runs requests for the keys that it holds,
 * and registers itself in the store.
 */
class Instance extends RawServer {

  /** A span in which the instance held a range of keys. */
  static final class Hold {

    final Instance instance;
    final int from;
    final int to;
    final long token;
    final double begin;
    double end;

    Hold(Instance instance, int from, int to, long token, double begin, double end) {
      this.instance = instance;
      this.from = from;
      this.to = to;
      this.token = token;
      this.begin = begin;
      this.end = end;
    }
  }

  /** One request that the instance began to work on. */
  record Run(Instance instance, String attemptId, String method, int key, double begin) {}

  private static final int KEYS = 65_536;
  private static final int SLOTS = 4;
  private static final int QUEUE = 8;
  private static final int MISDIRECTED = 421;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final long HEARTBEAT_MS = 870;

  final String id;
  private final String service;
  private final String zone;
  private final Store store;
  private final Record record;
  private final Random random;
  private final long workMs;
  private final long bornMs = System.currentTimeMillis();
  private final long[] seenToken = new long[KEYS];
  private final double[] heldUntil = new double[KEYS];
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final Semaphore places = new Semaphore(SLOTS + QUEUE);
  private final List<Hold> holds = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final Map<Integer, Integer> atWork = new HashMap<>();
  private volatile double fullShare;
  private volatile double lateCopyShare;
  private volatile double lateOrderCopyShare;
  private volatile boolean gone;
  private int seq;

  Instance(
      String ip, int port, String id, String service, String zone, Store store, Record record,
      long workMs, long seed)
      throws IOException {
    super(ip, port);
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    this.workMs = workMs;
    this.random = new Random(seed);
    open();
    Thread heartbeats = new Thread(this::sendHeartbeats, "heartbeats");
    heartbeats.setDaemon(true);
    heartbeats.start();
  }

  /** Rejects a share of the requests, as an instance without room does. */
  void rejectShare(double share) {
    fullShare = share;
  }

  /** Sends a share of the rejections once more, late, where the next response is expected. */
  void repeatRejectionsLate(double share) {
    lateCopyShare = share;
  }

  /** Sends a share of the 421 to orders once more, late, where the next answer is expected. */
  void repeatOrderRejectionsLate(double share) {
    lateOrderCopyShare = share;
  }

  synchronized List<Hold> holds() {
    return List.copyOf(holds);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns how many keys it holds now. */
  synchronized int heldKeys() {
    double now = record.now();
    int count = 0;
    for (double until : heldUntil) {
      count += until > now ? 1 : 0;
    }
    return count;
  }

  private void sendHeartbeats() {
    try {
      while (!gone) {
        store.put("servers/" + id, entry());
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Crashes: it holds nothing any longer, and its entry stays until it expires. */
  void crash() {
    synchronized (this) {
      gone = true;
      endHolds(0, KEYS - 1, record.now());
      Arrays.fill(heldUntil, 0);
    }
    close();
    record.write("%s crashes", id);
  }

  /** Returns the port on which it listens. */
  int port() {
    return Integer.parseInt(address().substring(address().lastIndexOf(':') + 1));
  }

  /** Returns its entry in the registry. */
  synchronized String entry() {
    seq++;
    return "{\"address\":\"" + address() + "\",\"born\":" + bornMs
        + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone
        + "\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\"ready\",\"seq\":" + seq
        + ",\"cold_remaining\":\"0ms\"}}";
  }

  @Override
  void handle(Connection connection, Request request) throws IOException, InterruptedException {
    while (!connection.lateCopies.isEmpty()) {
      connection.send(connection.lateCopies.poll());
      record.write(
          "%s conn %d: late copy of an earlier response sent, then %s %s %s follows",
          id, connection.number, request.method(), request.path(),
          request.header("X-Attempt-Id"));
    }
    if (request.path().equals("/v1/grant") || request.path().equals("/v1/release")) {
      order(connection, request);
    } else {
      run(connection, request);
    }
  }

  private void order(Connection connection, Request request)
      throws IOException, InterruptedException {
    String named = request.header("X-Target-Instance");
    if (named != null && !named.equals(id)) {
      rejectOrder(connection, request, named);
      return;
    }
    JsonNode body = Store.JSON.readTree(request.body());
    int from = body.path("from").asInt();
    int to = body.path("target").asInt();
    long token = body.path("fence").asLong();
    boolean grants = request.path().equals("/v1/grant");
    if (!grants) {
      release(from, to, token);
      awaitNoWork(from, to);
      connection.send(
          response(200, echo(request, "X-Handover", "h" + Long.toHexString(token)), new byte[0]));
      return;
    }
    double holdS = Long.parseLong(body.path("hold_time").asText().replace("ms", "")) / 1e3;
    boolean taken = grant(from, to, token, holdS);
    byte[] answer = response(taken ? 200 : CONFLICT, echo(request, "Server", id), new byte[0]);
    connection.send(answer);
  }

  private void rejectOrder(Connection connection, Request request, String named)
      throws IOException {
    byte[] rejection = reject(MISDIRECTED, request);
    boolean again = chance(lateOrderCopyShare);
    if (again) {
      connection.lateCopies.add(rejection);
    }
    record.write(
        "%s conn %d: rejects %s for %s with 421%s", id, connection.number, request.path(), named,
        again ? "; a copy will come late" : "");
    connection.send(rejection);
  }

  /** Returns a header, and the id of the request if it has one. */
  private static Map<String, String> echo(Request request, String name, String value) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put(name, value);
    if (request.header("X-Attempt-Id") != null) {
      headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
    }
    return headers;
  }

  private synchronized boolean grant(int from, int to, long token, double holdS) {
    if (gone) {
      return false;
    }
    for (int key = from; key <= to; key++) {
      if (seenToken[key] > token) {
        return false;
      }
    }
    double now = record.now();
    endHolds(from, to, now);
    boolean renewal = true;
    for (int key = from; key <= to; key++) {
      seenToken[key] = token;
      renewal &= heldUntil[key] > now;
      heldUntil[key] = now + holdS;
    }
    holds.add(new Hold(this, from, to, token, now, now + holdS));
    record.write(
        "%s %s %d-%d fence %d for %.1f s", id, renewal ? "renewed" : "granted", from, to, token,
        holdS);
    return true;
  }

  private synchronized void release(int from, int to, long token) {
    double now = record.now();
    for (int key = from; key <= to; key++) {
      seenToken[key] = Math.max(seenToken[key], token);
      heldUntil[key] = Math.min(heldUntil[key], now);
    }
    endHolds(from, to, now);
    record.write("%s released %d-%d fence %d", id, from, to, token);
  }

  /** Ends the holds of these keys, which were released or are granted anew. */
  private void endHolds(int from, int to, double now) {
    for (Hold hold : List.copyOf(holds)) {
      if (hold.end > now && hold.from <= to && from <= hold.to) {
        cut(hold, from, to, now);
      }
    }
  }

  /** Ends the part of a hold that lies in a range; the rest goes on. */
  private void cut(Hold hold, int from, int to, double now) {
    if (hold.from < from) {
      holds.add(new Hold(this, hold.from, from - 1, hold.token, hold.begin, hold.end));
    }
    if (hold.to > to) {
      holds.add(new Hold(this, to + 1, hold.to, hold.token, hold.begin, hold.end));
    }
    int first = Math.max(hold.from, from);
    int last = Math.min(hold.to, to);
    holds.add(new Hold(this, first, last, hold.token, hold.begin, now));
    holds.remove(hold);
  }

  private synchronized void awaitNoWork(int from, int to) throws InterruptedException {
    while (atWork.keySet().stream().anyMatch(key -> key >= from && key <= to)) {
      wait();
    }
  }

  private byte[] reject(int status, Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Not-Executed", "1");
    headers.put("X-Instance-Id", id);
    if (request.header("X-Attempt-Id") != null) {
      headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
    }
    return response(status, headers, new byte[0]);
  }

  private void run(Connection connection, Request request)
      throws IOException, InterruptedException {
    String attemptId = request.header("X-Attempt-Id");
    int key = Integer.parseInt(request.header("X-Shard-Key"));
    boolean mine = id.equals(request.header("X-Target-Instance")) && holdsKey(key);
    if (!mine) {
      connection.send(reject(MISDIRECTED, request));
      record.write("%s conn %d: rejects %s key %d with 421", id, connection.number, attemptId, key);
      return;
    }
    if (chance(fullShare) || !places.tryAcquire()) {
      rejectForLackOfRoom(connection, request);
      return;
    }
    try {
      slots.acquire();
      try {
        work(connection, request, key);
      } finally {
        slots.release();
      }
    } finally {
      places.release();
    }
  }

  private void rejectForLackOfRoom(Connection connection, Request request) throws IOException {
    byte[] rejection = reject(UNAVAILABLE, request);
    boolean again = chance(lateCopyShare);
    if (again) {
      connection.lateCopies.add(rejection);
    }
    record.write(
        "%s conn %d: rejects %s with 503 X-Not-Executed%s", id, connection.number,
        request.header("X-Attempt-Id"), again ? "; a copy will come late" : "");
    connection.send(rejection);
  }

  private synchronized boolean chance(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  private synchronized boolean holdsKey(int key) {
    return heldUntil[key] > record.now();
  }

  /** Begins to work on a request, unless the key is no longer held. */
  private synchronized boolean begin(String attemptId, String method, int key) {
    if (gone || !holdsKey(key)) {
      return false;
    }
    runs.add(new Run(this, attemptId, method, key, record.now()));
    atWork.merge(key, 1, Integer::sum);
    return true;
  }

  private void work(Connection connection, Request request, int key)
      throws IOException, InterruptedException {
    String attemptId = request.header("X-Attempt-Id");
    if (!begin(attemptId, request.method(), key)) {
      // The key was released while the request waited for a slot.
      connection.send(reject(MISDIRECTED, request));
      return;
    }
    record.write(
        "%s conn %d: runs %s %s key %d", id, connection.number, request.method(), attemptId, key);
    try {
      Thread.sleep(workMs);
    } finally {
      synchronized (this) {
        atWork.computeIfPresent(key, (any, count) -> count == 1 ? null : count - 1);
        notifyAll();
      }
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Attempt-Id", attemptId);
    headers.put("X-Response-Signature", "s." + id + "." + attemptId);
    connection.send(response(200, headers, ("done by " + id).getBytes()));
  }
}
