package io.cuminvalve.ports.target;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.ports.ScriptedServer;
import io.cuminvalve.ports.host.Host;
import io.cuminvalve.ports.host.HostState;
import io.cuminvalve.ports.host.HttpHostList;
import io.cuminvalve.ports.http.BoundedHttpClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpTargetControlTest {

  private static final long TEST_TIMEOUT_S = 20;
  private static final long TIMEOUT_MS = 15_000;
  private static final long SHORT_TIMEOUT_MS = 100;
  private static final String HEADERS =
      "Cuminvalve-Target-Clock: 120\r\nCuminvalve-Target-Incarnation: -9\r\n";

  private final BoundedHttpClient httpClient = new BoundedHttpClient("test", TIMEOUT_MS);
  private final TargetControl control = new HttpTargetControl(httpClient, TIMEOUT_MS, TIMEOUT_MS);
  private ScriptedServer server;

  @BeforeEach
  void open() throws Exception {
    httpClient.start();
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws Exception {
    httpClient.stop();
    server.close();
  }

  @Test
  void grantSendsShardsAndTokens() throws Exception {
    server.respond(200, HEADERS, "");
    TargetReply reply = get(control.grant(server.address(), new int[] {3, 4}, new long[] {6, 8}));
    assertThat(reply).isEqualTo(new TargetReply(TargetOutcome.DONE, new Incarnation(-9), 120, 0));
    String request = server.nextRequest();
    assertThat(request).startsWith("POST /cuminvalve/grants ");
    assertThat(request).endsWith("{\"shards\":[3,4],\"tokens\":[6,8]}");
  }

  @Test
  void staleTokenReturnsHighestToken() throws Exception {
    server.respond(409, HEADERS, "{\"shard\": 3, \"token\": 10}");
    TargetReply reply = get(control.grant(server.address(), new int[] {3}, new long[] {6}));
    assertThat(reply.outcome()).isEqualTo(TargetOutcome.STALE_TOKEN);
    assertThat(reply.highestToken()).isEqualTo(10);
  }

  @Test
  void revocationSendsDrainFlag() throws Exception {
    server.respond(200, HEADERS, "");
    get(control.revoke(server.address(), new int[] {3}, new long[] {6}, true));
    assertThat(server.nextRequest()).endsWith("{\"shards\":[3],\"tokens\":[6],\"drain\":true}");
  }

  /** Guards against a shard that passes for revoked by a late response to an earlier order. */
  @Test
  void responsesThatNameAnotherOrderDoNotCount() throws Exception {
    server.respond(200, HEADERS + "Cuminvalve-Attempt-Id: another\r\n", "");
    TargetReply reply = get(control.revoke(server.address(), new int[] {3}, new long[] {6}, true));
    assertThat(reply.outcome()).isEqualTo(TargetOutcome.NO_ANSWER);
    assertThat(server.nextRequest()).contains("Cuminvalve-Attempt-Id: ");
  }

  @Test
  void refusedConnectionIsDistinguishedFromNoAnswer() throws Exception {
    RequestId request = new RequestId("r-1");
    assertThat(get(control.cancel(ScriptedServer.refusedAddress(), request)).outcome())
        .isEqualTo(TargetOutcome.CONNECTION_REFUSED);
    server.respondRaw("");
    assertThat(get(control.cancel(server.address(), request)).outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
    server.respond(503, "", "");
    assertThat(get(control.cancel(server.address(), request)).outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
    server.neverRespond();
    TargetControl controlWithShortTimeout =
        new HttpTargetControl(httpClient, SHORT_TIMEOUT_MS, SHORT_TIMEOUT_MS);
    assertThat(get(controlWithShortTimeout.health(server.address())).reply().outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
  }

  @Test
  void malformedHealthIsTolerated() throws Exception {
    server.respond(200, HEADERS, "{\"state\":\"DRAINING\",\"inFlight\":2,\"load\":0.5}");
    TargetHealth health = get(control.health(server.address()));
    assertThat(health.state()).hasValue(TargetState.DRAINING);
    assertThat(health.inFlight()).isEqualTo(2);
    assertThat(health.load()).isEqualTo(0.5);
    server.respond(200, "Cuminvalve-Target-Incarnation: x\r\n", "{\"state\":\"LAZY\"");
    TargetHealth malformed = get(control.health(server.address()));
    assertThat(malformed.state()).isEqualTo(Optional.empty());
    assertThat(malformed.reply().incarnation()).isEqualTo(Incarnation.UNKNOWN);
  }

  @Test
  void malformedHostListIsTolerated() throws Exception {
    server.respond(
        200,
        "",
        "{\"hosts\":[{\"id\":\"a\",\"state\":\"LEAVING\"},{\"id\":\"b\",\"state\":\"?\"}]}");
    HttpHostList hosts =
        new HttpHostList(
            httpClient, List.of(ScriptedServer.refusedAddress(), server.address()), TIMEOUT_MS);
    assertThat(get(hosts.hosts()).orElseThrow())
        .containsExactly(new Host("a", HostState.LEAVING), new Host("b", HostState.LIVE));
    server.respond(200, "", "{\"hosts\": 3}");
    assertThat(get(hosts.hosts())).isEqualTo(Optional.empty());
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    return future.get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
