package io.cuminvalve.ports.store;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.ports.ScriptedServer;
import io.cuminvalve.ports.http.BoundedHttpClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpKeyValueStoreTest {

  private static final long TEST_TIMEOUT_S = 20;
  private static final long TIMEOUT_MS = 15_000;
  private static final long SHORT_TIMEOUT_MS = 100;
  private static final byte[] VALUE = {1, 2, 3};

  private final BoundedHttpClient httpClient = new BoundedHttpClient("test", TIMEOUT_MS);
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
  void writeSendsExpectedRevisionAndLease() throws Exception {
    server.respond(200, "", "{\"revision\": 8}");
    Optional<StoreLeaseId> lease = Optional.of(new StoreLeaseId("a b"));
    assertThat(get(store().write("cell/c 1/term", VALUE, 7, lease)))
        .isEqualTo(new WriteResult(StoreOutcome.DONE, 8));
    String request = server.nextRequest();
    assertThat(request)
        .startsWith("PUT /v1/kv/cell/c%201/term?expectedRevision=7&lease=a%20b HTTP/1.1");
    assertThat(request).endsWith("\r\n\r\n\u0001\u0002\u0003");
  }

  @Test
  void conflictReturnsCurrentRevision() throws Exception {
    server.respond(409, "", "{\"revision\": 9}");
    assertThat(write(TIMEOUT_MS)).isEqualTo(new WriteResult(StoreOutcome.CONFLICT, 9));
  }

  @Test
  void writeWithoutClearResponseIsUnknown() throws Exception {
    server.respondRaw("");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    server.respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"revi");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    server.respond(500, "", "");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    server.respond(200, "", "[]");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    server.respond(200, "", "{");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
  }

  @Test
  void slowStoreLeavesWritesUnknownAndReadsUnavailable() throws Exception {
    server.neverRespond();
    assertThat(write(SHORT_TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    KeyValueStore storeWithShortTimeout = store(SHORT_TIMEOUT_MS, server.address());
    assertThat(get(storeWithShortTimeout.read("k")).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
    assertThat(get(storeWithShortTimeout.keepAlive(new StoreLeaseId("1"))))
        .isEqualTo(StoreOutcome.UNKNOWN);
    assertThat(get(storeWithShortTimeout.watch("k", 0, 1)).event())
        .isEqualTo(WatchResult.Event.UNAVAILABLE);
  }

  @Test
  void refusedConnectionIsUnavailable() throws Exception {
    KeyValueStore store = store(TIMEOUT_MS, ScriptedServer.refusedAddress());
    assertThat(get(store.write("k", VALUE, 0, Optional.empty())).outcome())
        .isEqualTo(StoreOutcome.UNAVAILABLE);
    assertThat(get(store.read("k")).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
  }

  @Test
  void nextEndpointIsUsedWhenOneRefuses() throws Exception {
    server.respond(200, "", "{\"revision\": 3}");
    KeyValueStore store = store(TIMEOUT_MS, ScriptedServer.refusedAddress(), server.address());
    assertThat(get(store.delete("k", 2)).outcome()).isEqualTo(StoreOutcome.DONE);
    assertThat(server.nextRequest()).startsWith("DELETE /v1/kv/k?expectedRevision=2 ");
  }

  @Test
  void writeIsNeverRepeatedAtAnotherEndpointOnceSent() throws Exception {
    try (ScriptedServer second = new ScriptedServer()) {
      second.respond(200, "", "{\"revision\": 3}");
      server.respondRaw("");
      KeyValueStore store = store(TIMEOUT_MS, server.address(), second.address());
      assertThat(get(store.write("k", VALUE, 0, Optional.empty())).outcome())
          .isEqualTo(StoreOutcome.UNKNOWN);
    }
  }

  @Test
  void readsDistinguishAbsenceFromFailure() throws Exception {
    server.respond(404, "", "");
    assertThat(get(store().read("k")))
        .isEqualTo(new ReadResult(StoreOutcome.DONE, Optional.empty()));
    server.respond(200, "", "{\"value\": \"AQID\", \"revision\": 4}");
    StoreValue value = get(store().read("k")).value().orElseThrow();
    assertThat(value.value()).isEqualTo(VALUE);
    assertThat(value.revision()).isEqualTo(4);
    for (String broken :
        List.of("{\"value\": \"A\", \"revision\": 4}", "{\"value\": \"AQID\"}", "7", "")) {
      server.respond(200, "", broken);
      assertThat(get(store().read("k")).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
    }
  }

  @Test
  void readIsRetriedOnceWhenTheConnectionBreaks() throws Exception {
    server.respond(404, "", "").closeNext(1);
    assertThat(get(store().read("k")).outcome()).isEqualTo(StoreOutcome.DONE);
    server.closeNext(2);
    assertThat(get(store().read("k")).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
  }

  @Test
  void writeIsNotRetriedWhenTheConnectionBreaks() throws Exception {
    server.respond(200, "", "{\"revision\": 3}").closeNext(1);
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    assertThat(server.nextRequest()).startsWith("PUT ");
    assertThat(write(TIMEOUT_MS).outcome()).isEqualTo(StoreOutcome.DONE);
  }

  @Test
  void oversizedResponseIsRejected() throws Exception {
    server.respond(200, "", "x".repeat(5 * 1024 * 1024));
    assertThat(get(store().read("k")).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
  }

  @Test
  void watchReturnsItsEvents() throws Exception {
    server.respond(200, "", "{\"value\": \"AQID\", \"revision\": 4}");
    assertThat(get(store().watch("config", 3, 50)).value().orElseThrow().revision()).isEqualTo(4);
    assertThat(server.nextRequest()).startsWith("GET /v1/watch/config?after=3&waitMs=50 ");
    server.respondRaw("HTTP/1.1 204 x\r\nConnection: close\r\n\r\n");
    assertThat(get(store().watch("k", 3, 50)).event()).isEqualTo(WatchResult.Event.UNCHANGED);
    server.respond(404, "", "");
    assertThat(get(store().watch("k", 3, 50)).event()).isEqualTo(WatchResult.Event.ABSENT);
  }

  @Test
  void leasesAreCreatedAndExpire() throws Exception {
    server.respond(200, "", "{\"lease\": 17}");
    assertThat(get(store().createLease(1000)).lease()).hasValue(new StoreLeaseId("17"));
    server.respond(200, "", "{}");
    assertThat(get(store().createLease(1000)).outcome()).isEqualTo(StoreOutcome.UNKNOWN);
    server.respond(404, "", "");
    assertThat(get(store().keepAlive(new StoreLeaseId("17")))).isEqualTo(StoreOutcome.CONFLICT);
    server.respond(200, "", "");
    assertThat(get(store().endLease(new StoreLeaseId("17")))).isEqualTo(StoreOutcome.DONE);
  }

  private KeyValueStore store() {
    return store(TIMEOUT_MS, server.address());
  }

  private KeyValueStore store(long timeoutMs, String... addresses) {
    return new HttpKeyValueStore(httpClient, List.of(addresses), timeoutMs);
  }

  private WriteResult write(long timeoutMs) throws Exception {
    return get(store(timeoutMs, server.address()).write("k", VALUE, 0, Optional.empty()));
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    return future.get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
