package io.cuminvalve.ports.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.http.HttpCallResult;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Client of the key-value store over HTTP, as specified in docs/PROTOCOLS.md.
 *
 * <p>If there are several endpoints, a call that certainly never left this process is sent to the
 * next one. Later calls start at the endpoint that was chosen last.
 *
 * @since 0.1
 */
public final class HttpKeyValueStore implements KeyValueStore {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String OCTETS = "application/octet-stream";

  private final BoundedHttpClient httpClient;
  private final List<String> addresses;
  private final long timeoutMs;
  private final AtomicInteger preferred = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param httpClient the HTTP client; not null
   * @param addresses the store's endpoints, IP address and port; not null, not empty
   * @param timeoutMs timeout of each call, in addition to the wait of a watch; milliseconds
   */
  public HttpKeyValueStore(BoundedHttpClient httpClient, List<String> addresses, long timeoutMs) {
    this.httpClient = httpClient;
    this.addresses = List.copyOf(addresses);
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return call(base -> httpClient.get(base + keyPath(key), timeoutMs))
        .thenApply(HttpKeyValueStore::toReadResult);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, long expectedRevision, Optional<StoreLeaseId> lease) {
    String query =
        "?expectedRevision="
            + expectedRevision
            + lease.map(id -> "&lease=" + encode(id.value())).orElse("");
    return call(base ->
            httpClient.call("PUT", base + keyPath(key) + query, OCTETS, value, timeoutMs))
        .thenApply(HttpKeyValueStore::toWriteResult);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedRevision) {
    String query = "?expectedRevision=" + expectedRevision;
    return call(base -> httpClient.call("DELETE", base + keyPath(key) + query, timeoutMs))
        .thenApply(HttpKeyValueStore::toWriteResult);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String key, long afterRevision, long waitMs) {
    String path = "/v1/watch/" + encodePath(key) + "?after=" + afterRevision + "&waitMs=" + waitMs;
    return call(base -> httpClient.get(base + path, waitMs + timeoutMs))
        .thenApply(HttpKeyValueStore::toWatchResult);
  }

  @Override
  public CompletableFuture<LeaseResult> createLease(long ttlMs) {
    return call(base -> httpClient.call("POST", base + "/v1/leases?ttlMs=" + ttlMs, timeoutMs))
        .thenApply(HttpKeyValueStore::toLeaseResult);
  }

  @Override
  public CompletableFuture<StoreOutcome> keepAlive(StoreLeaseId lease) {
    String path = "/v1/leases/" + encode(lease.value()) + "/keepalive";
    return call(base -> httpClient.call("POST", base + path, timeoutMs))
        .thenApply(HttpKeyValueStore::outcomeOf);
  }

  @Override
  public CompletableFuture<StoreOutcome> endLease(StoreLeaseId lease) {
    String path = "/v1/leases/" + encode(lease.value());
    return call(base -> httpClient.call("DELETE", base + path, timeoutMs))
        .thenApply(HttpKeyValueStore::outcomeOf);
  }

  private CompletableFuture<HttpCallResult> call(
      Function<String, CompletableFuture<HttpCallResult>> call) {
    return callFrom(preferred.get(), 1, call);
  }

  private CompletableFuture<HttpCallResult> callFrom(
      int index, int attempt, Function<String, CompletableFuture<HttpCallResult>> call) {
    String base = "http://" + addresses.get(index);
    return call.apply(base)
        .thenCompose(
            result -> {
              if (!result.isUnsent() || attempt >= addresses.size()) {
                return CompletableFuture.completedFuture(result);
              }
              int next = (index + 1) % addresses.size();
              preferred.set(next);
              return callFrom(next, attempt + 1, call);
            });
  }

  private static ReadResult toReadResult(HttpCallResult result) {
    if (result.hasStatus(HttpCallResult.NOT_FOUND)) {
      return new ReadResult(StoreOutcome.DONE, Optional.empty());
    }
    Optional<StoreValue> value = valueOf(result);
    return new ReadResult(value.isPresent() ? StoreOutcome.DONE : StoreOutcome.UNAVAILABLE, value);
  }

  private static WriteResult toWriteResult(HttpCallResult result) {
    StoreOutcome outcome = outcomeOf(result);
    if (outcome != StoreOutcome.DONE && outcome != StoreOutcome.CONFLICT) {
      return new WriteResult(outcome, 0);
    }
    Optional<Long> revision = parse(result).map(document -> document.path("revision").asLong(0));
    if (outcome == StoreOutcome.DONE && revision.orElse(0L) == 0) {
      return new WriteResult(StoreOutcome.UNKNOWN, 0);
    }
    return new WriteResult(outcome, revision.orElse(0L));
  }

  private static WatchResult toWatchResult(HttpCallResult result) {
    if (result.hasStatus(HttpCallResult.NO_CONTENT)) {
      return new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty());
    }
    if (result.hasStatus(HttpCallResult.NOT_FOUND)) {
      return new WatchResult(WatchResult.Event.ABSENT, Optional.empty());
    }
    Optional<StoreValue> value = valueOf(result);
    return new WatchResult(
        value.isPresent() ? WatchResult.Event.CHANGED : WatchResult.Event.UNAVAILABLE, value);
  }

  private static LeaseResult toLeaseResult(HttpCallResult result) {
    StoreOutcome outcome = outcomeOf(result);
    Optional<StoreLeaseId> lease =
        outcome == StoreOutcome.DONE
            ? parse(result).map(document -> new StoreLeaseId(document.path("lease").asText()))
            : Optional.empty();
    boolean usable = lease.isPresent() && !lease.get().value().isEmpty();
    if (outcome == StoreOutcome.DONE && !usable) {
      return new LeaseResult(StoreOutcome.UNKNOWN, Optional.empty());
    }
    return new LeaseResult(outcome, lease);
  }

  /** Returns UNKNOWN for a write that may have reached the store and had no clear response. */
  private static StoreOutcome outcomeOf(HttpCallResult result) {
    if (result.isUnsent()) {
      return StoreOutcome.UNAVAILABLE;
    }
    if (result.hasStatus(HttpCallResult.OK) || result.hasStatus(HttpCallResult.NO_CONTENT)) {
      return StoreOutcome.DONE;
    }
    boolean conflict =
        result.hasStatus(HttpCallResult.CONFLICT) || result.hasStatus(HttpCallResult.NOT_FOUND);
    return conflict ? StoreOutcome.CONFLICT : StoreOutcome.UNKNOWN;
  }

  private static Optional<StoreValue> valueOf(HttpCallResult result) {
    if (!result.hasStatus(HttpCallResult.OK)) {
      return Optional.empty();
    }
    return parse(result).flatMap(HttpKeyValueStore::valueOf);
  }

  private static Optional<StoreValue> valueOf(JsonNode document) {
    long revision = document.path("revision").asLong(0);
    if (revision < 1 || !document.path("value").isTextual()) {
      return Optional.empty();
    }
    try {
      return Optional.of(new StoreValue(document.path("value").binaryValue(), revision));
    } catch (IOException notBase64) {
      return Optional.empty();
    }
  }

  private static Optional<JsonNode> parse(HttpCallResult result) {
    try {
      return Optional.of(JSON.readTree(result.body()));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  private static String keyPath(String key) {
    return "/v1/kv/" + encodePath(key);
  }

  /** Encodes each segment of a key but not the slashes between them. */
  private static String encodePath(String key) {
    return encode(key).replace("%2F", "/");
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
