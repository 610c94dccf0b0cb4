package io.cuminvalve.controller.cell;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.wire.PeerNetwork;
import io.cuminvalve.wire.PeerNetworkCounters;
import io.cuminvalve.wire.Reachability;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigurationFollowerTest {

  private static final CellId CELL = new CellId("claims");
  private static final String HOLDER = "127.0.0.1:7000";
  private static final ReadResult NO_ANSWER =
      new ReadResult(StoreOutcome.UNAVAILABLE, Optional.empty());

  private final FakeStore store = new FakeStore();
  private final FakeNetwork network = new FakeNetwork();
  private final List<Long> installed = new ArrayList<>();
  private final ConfigurationFollower follower =
      new ConfigurationFollower(
          store,
          network,
          Runnable::run,
          (configuration, json) -> installed.add(configuration.revision()));
  private long nowMs = 1_000;

  @Test
  void leaderReadsFirstAndThenWatches() {
    follower.tickLeading(nowMs);
    store.reads.remove().complete(FakeStore.found(5, document("a")));
    nextLeadingTick();
    assertThat(store.watchedAfter).isEqualTo(5);
    store.watches.remove().complete(FakeStore.changed(6, document("b")));
    nextLeadingTick();
    assertThat(store.watchedAfter).isEqualTo(6);
    assertThat(installed).containsExactly(5L, 6L).inOrder();
  }

  @Test
  void staleWatchIsIgnoredAndFollowedByRead() {
    follower.tickLeading(nowMs);
    store.reads.remove().complete(FakeStore.found(5, document("a")));
    nextLeadingTick();
    store.watches.remove().complete(FakeStore.changed(4, document("old")));
    follower.tickLeading(nowMs);
    assertThat(store.reads).isEmpty();
    nextLeadingTick();
    store.reads.remove().complete(FakeStore.found(7, document("new")));
    assertThat(installed).containsExactly(5L, 7L).inOrder();
  }

  @Test
  void storeOutageIsRetriedWithPauses() {
    follower.tickLeading(nowMs);
    store.reads.remove().complete(NO_ANSWER);
    follower.tickLeading(nowMs);
    assertThat(store.reads).isEmpty();
    nextLeadingTick();
    store.reads.remove().complete(FakeStore.found(5, document("a")));
    nextLeadingTick();
    store
        .watches
        .remove()
        .complete(new WatchResult(WatchResult.Event.UNAVAILABLE, Optional.empty()));
    nextLeadingTick();
    assertThat(store.reads).hasSize(1);
  }

  @Test
  void olderRevisionIsNeverInstalled() {
    follower.onPush(new ConfigPush(CELL, 9, document("new")));
    follower.onPush(new ConfigPush(CELL, 8, document("old")));
    follower.onPush(new ConfigPush(CELL, 9, document("other")));
    follower.tickLeading(nowMs);
    store.reads.remove().complete(FakeStore.found(7, document("older")));
    assertThat(installed).containsExactly(9L);
    assertThat(follower.configuration().orElseThrow().reason()).isEqualTo("new");
  }

  @Test
  void unreadableDocumentIsNamedAndTheLastOneStays() {
    follower.onPush(new ConfigPush(CELL, 5, document("good")));
    follower.onPush(new ConfigPush(CELL, 6, "{".getBytes(StandardCharsets.UTF_8)));
    assertThat(follower.configuration().orElseThrow().revision()).isEqualTo(5);
    assertThat(follower.problem().orElseThrow()).contains("revision 6 is refused");
    follower.onPush(new ConfigPush(CELL, 7, document("mended")));
    assertThat(follower.problem()).isEqualTo(Optional.empty());
  }

  @Test
  void waitingControllerReadsOnceAndThenAsksTheHolderOnly() {
    follower.tickWaiting(nowMs, CELL, "");
    store.reads.remove().complete(FakeStore.found(5, document("a")));
    for (int i = 0; i < 10; i++) {
      nowMs += ConfigurationFollower.ASK_HOLDER_MS;
      follower.tickWaiting(nowMs, CELL, HOLDER);
    }
    assertThat(store.reads).isEmpty();
    assertThat(store.watches).isEmpty();
    assertThat(network.sent).hasSize(10);
    assertThat(network.sent).contains(new ConfigRequest(CELL, 5));
  }

  @Test
  void controllerThatStartsToLeadReadsAnew() {
    follower.tickWaiting(nowMs, CELL, HOLDER);
    store.reads.remove().complete(FakeStore.found(5, document("a")));
    nextLeadingTick();
    assertThat(store.watches).hasSize(1);
    follower.tickWaiting(nowMs, CELL, HOLDER);
    store.watches.remove().complete(new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty()));
    nextLeadingTick();
    assertThat(store.reads).hasSize(1);
  }

  private void nextLeadingTick() {
    nowMs += ConfigurationFollower.RETRY_MS;
    follower.tickLeading(nowMs);
  }

  private static byte[] document(String reason) {
    return ConfigurationCodec.encode(
        new Configuration(
            1,
            new PublicationId("p"),
            "operator",
            reason,
            new Inventory(List.of(), List.of(), List.of()),
            List.of()));
  }

  /** Writes down what is sent. */
  private static final class FakeNetwork implements PeerNetwork {

    private final List<PeerMessage> sent = new ArrayList<>();

    @Override
    public String localAddress() {
      return "127.0.0.1:7001";
    }

    @Override
    public void send(String peerAddress, PeerMessage message) {
      sent.add(message);
    }

    @Override
    public void connect(String peerAddress) {}

    @Override
    public Reachability reachability(String peerAddress) {
      return Reachability.UNKNOWN;
    }

    @Override
    public CompletableFuture<Reachability> probe(String peerAddress) {
      return CompletableFuture.completedFuture(Reachability.SILENT);
    }

    @Override
    public PeerNetworkCounters counters() {
      return new PeerNetworkCounters(0, 0, 0, 0, 0, 0);
    }

    @Override
    public void retain(Set<String> peerAddresses) {}

    @Override
    public void close() {}
  }
}
