package io.cuminvalve.ports.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.http.GuardedCall;
import io.cuminvalve.ports.http.HttpCallResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the control interface of targets over HTTP, as specified in docs/PROTOCOLS.md.
 *
 * @since 0.1
 */
public final class HttpTargetControl implements TargetControl {

  /** The response header that carries the target's clock. */
  public static final String CLOCK_HEADER = "Cuminvalve-Target-Clock";

  /** The response header that carries the target's incarnation. */
  public static final String INCARNATION_HEADER = "Cuminvalve-Target-Incarnation";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String JSON_TYPE = "application/json";
  private static final String BASE = "/cuminvalve/";

  private final BoundedHttpClient httpClient;
  private final long timeoutMs;
  private final long drainTimeoutMs;

  /**
   * Creates a client.
   *
   * @param httpClient the HTTP client; not null
   * @param timeoutMs timeout of each call; milliseconds
   * @param drainTimeoutMs timeout of a revocation that waits for requests in flight; milliseconds
   */
  public HttpTargetControl(BoundedHttpClient httpClient, long timeoutMs, long drainTimeoutMs) {
    this.httpClient = httpClient;
    this.timeoutMs = timeoutMs;
    this.drainTimeoutMs = drainTimeoutMs;
  }

  @Override
  public CompletableFuture<TargetReply> grant(String address, int[] shards, long[] tokens) {
    return post(address, "grants", shardsAndTokens(shards, tokens), timeoutMs);
  }

  @Override
  public CompletableFuture<TargetReply> revoke(
      String address, int[] shards, long[] tokens, boolean drain) {
    ObjectNode body = shardsAndTokens(shards, tokens);
    body.put("drain", drain);
    return post(address, "revocations", body, drain ? drainTimeoutMs : timeoutMs);
  }

  @Override
  public CompletableFuture<TargetHealth> health(String address) {
    return httpClient.get(url(address, "health"), timeoutMs).thenApply(HttpTargetControl::toHealth);
  }

  @Override
  public CompletableFuture<TargetReply> cancel(String address, RequestId request) {
    ObjectNode body = JSON.createObjectNode();
    body.put("requestId", request.value());
    return post(address, "cancellations", body, timeoutMs);
  }

  private CompletableFuture<TargetReply> post(
      String address, String path, ObjectNode body, long callTimeoutMs) {
    String attemptId = UUID.randomUUID().toString();
    GuardedCall call =
        new GuardedCall(
            "POST",
            url(address, path),
            Map.of(AttemptIdHeader.NAME, attemptId),
            JSON_TYPE,
            body.toString().getBytes(StandardCharsets.UTF_8),
            callTimeoutMs,
            false,
            () -> true,
            (status, headers, earlier) -> AttemptIdHeader.allows(headers, attemptId));
    return httpClient.call(call).thenApply(HttpTargetControl::toReply);
  }

  private static String url(String address, String path) {
    return "http://" + address + BASE + path;
  }

  private static ObjectNode shardsAndTokens(int[] shards, long[] tokens) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode shardList = body.putArray("shards");
    Arrays.stream(shards).forEach(shardList::add);
    ArrayNode tokenList = body.putArray("tokens");
    Arrays.stream(tokens).forEach(tokenList::add);
    return body;
  }

  private static TargetReply toReply(HttpCallResult result) {
    TargetOutcome outcome = outcomeOf(result);
    long highestToken =
        outcome == TargetOutcome.STALE_TOKEN ? parse(result).path("token").asLong(0) : 0;
    return new TargetReply(
        outcome,
        new Incarnation(header(result, INCARNATION_HEADER)),
        header(result, CLOCK_HEADER),
        highestToken);
  }

  private static TargetHealth toHealth(HttpCallResult result) {
    TargetReply reply = toReply(result);
    if (!reply.isDone()) {
      return new TargetHealth(reply, Optional.empty(), 0, 0);
    }
    JsonNode body = parse(result);
    return new TargetHealth(
        reply,
        stateOf(body.path("state").asText()),
        body.path("inFlight").asInt(0),
        body.path("load").asDouble(0));
  }

  private static Optional<TargetState> stateOf(String name) {
    return Arrays.stream(TargetState.values())
        .filter(state -> state.name().equals(name))
        .findFirst();
  }

  private static TargetOutcome outcomeOf(HttpCallResult result) {
    if (result.kind() == HttpCallResult.Kind.REFUSED) {
      return TargetOutcome.CONNECTION_REFUSED;
    }
    if (result.hasStatus(HttpCallResult.OK) || result.hasStatus(HttpCallResult.NO_CONTENT)) {
      return TargetOutcome.DONE;
    }
    return result.hasStatus(HttpCallResult.CONFLICT)
        ? TargetOutcome.STALE_TOKEN
        : TargetOutcome.NO_ANSWER;
  }

  private static JsonNode parse(HttpCallResult result) {
    try {
      return JSON.readTree(result.body());
    } catch (IOException malformed) {
      return JSON.createObjectNode();
    }
  }

  private static long header(HttpCallResult result, String name) {
    try {
      return result.headers().contains(name) ? Long.parseLong(result.headers().get(name)) : 0;
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }
}
