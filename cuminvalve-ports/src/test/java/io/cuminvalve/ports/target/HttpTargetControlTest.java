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

  private static final long GIVE_UP_S = 20;
  private static final long PATIENCE_MS = 15_000;
  private static final long IMPATIENCE_MS = 100;
  private static final String HEADERS =
      "Cuminvalve-Target-Clock: 120\r\nCuminvalve-Target-Incarnation: -9\r\n";

  private final BoundedHttpClient caller = new BoundedHttpClient("test", PATIENCE_MS);
  private final TargetControl control = new HttpTargetControl(caller, PATIENCE_MS, PATIENCE_MS);
  private ScriptedServer server;

  @BeforeEach
  void open() throws Exception {
    caller.start();
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws Exception {
    caller.stop();
    server.close();
  }

  @Test
  void grantNamesShardsAndTokens() throws Exception {
    server.answer(200, HEADERS, "");
    TargetReply reply = get(control.grant(server.address(), new int[] {3, 4}, new long[] {6, 8}));
    assertThat(reply).isEqualTo(new TargetReply(TargetOutcome.DONE, new Incarnation(-9), 120, 0));
    String request = server.nextRequest();
    assertThat(request).startsWith("POST /cuminvalve/grants ");
    assertThat(request).endsWith("{\"shards\":[3,4],\"tokens\":[6,8]}");
  }

  @Test
  void higherTokenIsTold() throws Exception {
    server.answer(409, HEADERS, "{\"shard\": 3, \"token\": 10}");
    TargetReply reply = get(control.grant(server.address(), new int[] {3}, new long[] {6}));
    assertThat(reply.outcome()).isEqualTo(TargetOutcome.STALE_TOKEN);
    assertThat(reply.highestToken()).isEqualTo(10);
  }

  @Test
  void revocationTellsWhetherToDrain() throws Exception {
    server.answer(200, HEADERS, "");
    get(control.revoke(server.address(), new int[] {3}, new long[] {6}, true));
    assertThat(server.nextRequest()).endsWith("{\"shards\":[3],\"tokens\":[6],\"drain\":true}");
  }

  @Test
  void refusalIsToldApartFromNoAnswer() throws Exception {
    RequestId request = new RequestId("r-1");
    assertThat(get(control.cancel(ScriptedServer.refusedAddress(), request)).outcome())
        .isEqualTo(TargetOutcome.CONNECTION_REFUSED);
    server.answerRaw("");
    assertThat(get(control.cancel(server.address(), request)).outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
    server.answer(503, "", "");
    assertThat(get(control.cancel(server.address(), request)).outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
    server.staySilent();
    TargetControl impatient = new HttpTargetControl(caller, IMPATIENCE_MS, IMPATIENCE_MS);
    assertThat(get(impatient.health(server.address())).reply().outcome())
        .isEqualTo(TargetOutcome.NO_ANSWER);
  }

  @Test
  void healthIsReadWithCare() throws Exception {
    server.answer(200, HEADERS, "{\"state\":\"DRAINING\",\"inFlight\":2,\"load\":0.5}");
    TargetHealth health = get(control.health(server.address()));
    assertThat(health.state()).hasValue(TargetState.DRAINING);
    assertThat(health.inFlight()).isEqualTo(2);
    assertThat(health.load()).isEqualTo(0.5);
    server.answer(200, "Cuminvalve-Target-Incarnation: x\r\n", "{\"state\":\"LAZY\"");
    TargetHealth odd = get(control.health(server.address()));
    assertThat(odd.state()).isEqualTo(Optional.empty());
    assertThat(odd.reply().incarnation()).isEqualTo(Incarnation.UNKNOWN);
  }

  @Test
  void hostListIsReadWithCare() throws Exception {
    server.answer(
        200,
        "",
        "{\"hosts\":[{\"id\":\"a\",\"state\":\"LEAVING\"},{\"id\":\"b\",\"state\":\"?\"}]}");
    HttpHostList hosts =
        new HttpHostList(
            caller, List.of(ScriptedServer.refusedAddress(), server.address()), PATIENCE_MS);
    assertThat(get(hosts.hosts()).orElseThrow())
        .containsExactly(new Host("a", HostState.LEAVING), new Host("b", HostState.LIVE));
    server.answer(200, "", "{\"hosts\": 3}");
    assertThat(get(hosts.hosts())).isEqualTo(Optional.empty());
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    return future.get(GIVE_UP_S, TimeUnit.SECONDS);
  }
}
