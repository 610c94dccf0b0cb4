package io.cuminvalve.ports.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.http.HttpCallResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The control interface of targets over HTTP, as in docs/PROTOCOLS.md.
 *
 * @since 0.1
 */
public final class HttpTargetControl implements TargetControl {

  /** The header in which a target tells its own clock. */
  public static final String CLOCK_HEADER = "Cuminvalve-Target-Clock";

  /** The header in which a target tells its run. */
  public static final String INCARNATION_HEADER = "Cuminvalve-Target-Incarnation";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String JSON_TYPE = "application/json";
  private static final String BASE = "/cuminvalve/";

  private final BoundedHttpClient caller;
  private final long timeoutMs;
  private final long drainTimeoutMs;

  /**
   * Creates a client.
   *
   * @param caller makes the calls; not null
   * @param timeoutMs bound on each call; milliseconds
   * @param drainTimeoutMs bound on a revocation that waits for requests in flight; milliseconds
   */
  public HttpTargetControl(BoundedHttpClient caller, long timeoutMs, long drainTimeoutMs) {
    this.caller = caller;
    this.timeoutMs = timeoutMs;
    this.drainTimeoutMs = drainTimeoutMs;
  }

  @Override
  public CompletableFuture<TargetReply> grant(String address, int[] shards, long[] tokens) {
    return post(address, "grants", orders(shards, tokens), timeoutMs);
  }

  @Override
  public CompletableFuture<TargetReply> revoke(
      String address, int[] shards, long[] tokens, boolean drain) {
    ObjectNode body = orders(shards, tokens);
    body.put("drain", drain);
    return post(address, "revocations", body, drain ? drainTimeoutMs : timeoutMs);
  }

  @Override
  public CompletableFuture<TargetHealth> health(String address) {
    return caller.get(url(address, "health"), timeoutMs).thenApply(HttpTargetControl::toHealth);
  }

  @Override
  public CompletableFuture<TargetReply> cancel(String address, RequestId request) {
    ObjectNode body = JSON.createObjectNode();
    body.put("requestId", request.value());
    return post(address, "cancellations", body, timeoutMs);
  }

  private CompletableFuture<TargetReply> post(
      String address, String path, ObjectNode body, long boundMs) {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    return caller
        .call("POST", url(address, path), JSON_TYPE, bytes, boundMs)
        .thenApply(HttpTargetControl::toReply);
  }

  private static String url(String address, String path) {
    return "http://" + address + BASE + path;
  }

  private static ObjectNode orders(int[] shards, long[] tokens) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode shardList = body.putArray("shards");
    Arrays.stream(shards).forEach(shardList::add);
    ArrayNode tokenList = body.putArray("tokens");
    Arrays.stream(tokens).forEach(tokenList::add);
    return body;
  }

  private static TargetReply toReply(HttpCallResult answer) {
    TargetOutcome outcome = outcomeOf(answer);
    long highestToken =
        outcome == TargetOutcome.STALE_TOKEN ? parse(answer).path("token").asLong(0) : 0;
    return new TargetReply(
        outcome,
        new Incarnation(header(answer, INCARNATION_HEADER)),
        header(answer, CLOCK_HEADER),
        highestToken);
  }

  private static TargetHealth toHealth(HttpCallResult answer) {
    TargetReply reply = toReply(answer);
    if (!reply.isDone()) {
      return new TargetHealth(reply, Optional.empty(), 0, 0);
    }
    JsonNode body = parse(answer);
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

  private static TargetOutcome outcomeOf(HttpCallResult answer) {
    if (answer.kind() == HttpCallResult.Kind.REFUSED) {
      return TargetOutcome.CONNECTION_REFUSED;
    }
    if (answer.hasStatus(HttpCallResult.OK) || answer.hasStatus(HttpCallResult.NO_CONTENT)) {
      return TargetOutcome.DONE;
    }
    return answer.hasStatus(HttpCallResult.CONFLICT)
        ? TargetOutcome.STALE_TOKEN
        : TargetOutcome.NO_ANSWER;
  }

  private static JsonNode parse(HttpCallResult answer) {
    try {
      return JSON.readTree(answer.body());
    } catch (IOException malformed) {
      return JSON.createObjectNode();
    }
  }

  private static long header(HttpCallResult answer, String name) {
    try {
      return answer.headers().contains(name) ? Long.parseLong(answer.headers().get(name)) : 0;
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }
}
