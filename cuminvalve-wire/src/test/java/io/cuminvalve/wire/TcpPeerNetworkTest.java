package io.cuminvalve.wire;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.wire.internal.FrameDecoder;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class TcpPeerNetworkTest {

  /** Upper bound of waiting; reached only if a test fails. */
  private static final long TIMEOUT_S = 20;

  private static final SharedKey KEY = new SharedKey("0123456789abcdef");
  private static final SharedKey OTHER_KEY = new SharedKey("fedcba9876543210");

  private final AtomicLong clockMs = new AtomicLong(1_000);
  private final List<AutoCloseable> resources = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : resources) {
      closeable.close();
    }
  }

  @Test
  void messageArrivesAndReplyReturns() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> sender.send(SampleMessages.heartbeat(2)));
    Peer client = peer(KEY, 0, (sender, message) -> {});
    client.network.send(server.address(), SampleMessages.heartbeat(1));
    assertThat(server.nextMessage()).isEqualTo(SampleMessages.heartbeat(1));
    assertThat(server.nextSender()).isEqualTo(client.address());
    assertThat(client.nextMessage()).isEqualTo(SampleMessages.heartbeat(2));
    assertThat(client.nextSender()).isEqualTo(server.address());
    assertThat(client.network.reachability(server.address())).isEqualTo(Reachability.CONNECTED);
  }

  @Test
  void largeMessagesArriveInOrder() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    Peer client = peer(KEY, 0, (sender, message) -> {});
    List<PeerMessage> messages = new ArrayList<>(SampleMessages.all());
    ShardTable table = SampleMessages.table(1 << 16, 100, new Random(1));
    messages.add(new TablePush(SampleMessages.CELL, table, new int[0]));
    messages.addAll(SampleMessages.all());
    for (PeerMessage message : messages) {
      client.network.send(server.address(), message);
    }
    for (PeerMessage message : messages) {
      assertThat(server.nextMessage()).isInstanceOf(message.getClass());
    }
  }

  @Test
  void wrongKeyIsRejectedOnBothSides() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    Peer unauthorized = peer(OTHER_KEY, 0, (sender, message) -> {});
    unauthorized.network.send(server.address(), SampleMessages.heartbeat(1));
    assertThat(unauthorized.nextReachability()).isEqualTo(Reachability.REJECTED);
    server.network.connect(unauthorized.address());
    assertThat(server.nextReachability()).isEqualTo(Reachability.REJECTED);
    assertThat(server.messages).isEmpty();
  }

  @Test
  void refusedConnectionIsDistinguishedFromSilence() throws Exception {
    Peer client = peer(KEY, 0, (sender, message) -> {});
    client.network.connect("127.0.0.1:" + freePort());
    assertThat(client.nextReachability()).isEqualTo(Reachability.REFUSED);
    try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + silent.getLocalPort();
      client.network.connect(address);
      try (Socket accepted = silent.accept()) {
        new DataInputStream(accepted.getInputStream()).readInt();
        assertThat(client.network.reachability(address)).isEqualTo(Reachability.UNKNOWN);
        clockMs.addAndGet(500);
        assertThat(client.nextReachability()).isEqualTo(Reachability.SILENT);
      }
    }
  }

  @Test
  void connectedPeerThatStopsAnsweringBecomesSilent() throws Exception {
    try (ScriptedPeer scripted = new ScriptedPeer(KEY)) {
      Peer client = peer(KEY, 0, (sender, message) -> {});
      client.network.connect(scripted.address());
      scripted.acceptAndAuthenticate();
      assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
      clockMs.addAndGet(100);
      scripted.readFrame();
      clockMs.addAndGet(299);
      assertThat(client.reachabilities).isEmpty();
      clockMs.addAndGet(1);
      assertThat(client.nextReachability()).isEqualTo(Reachability.SILENT);
      scripted.write(FrameDecoder.frame(new byte[0]));
      assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
    }
  }

  @Test
  void probeDetectsStoppedPeerImmediately() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    Peer client = peer(KEY, 0, (sender, message) -> {});
    String address = server.address();
    assertThat(client.network.probe(address).get(TIMEOUT_S, TimeUnit.SECONDS))
        .isEqualTo(Reachability.CONNECTED);
    assertThat(client.network.probe(address).get(TIMEOUT_S, TimeUnit.SECONDS))
        .isEqualTo(Reachability.CONNECTED);
    server.network.close();
    assertThat(client.network.probe(address).get(TIMEOUT_S, TimeUnit.SECONDS))
        .isEqualTo(Reachability.REFUSED);
  }

  @Test
  void linkReconnectsAfterPeerRestart() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    Peer client = peer(KEY, 0, (sender, message) -> {});
    String address = server.address();
    client.network.send(address, SampleMessages.heartbeat(1));
    server.nextMessage();
    server.network.close();
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
    assertThat(client.nextReachability()).isEqualTo(Reachability.REFUSED);
    final Peer restarted = peer(KEY, port, (sender, message) -> {});
    clockMs.addAndGet(5_000);
    assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
    client.network.send(address, SampleMessages.heartbeat(2));
    assertThat(restarted.nextMessage()).isEqualTo(SampleMessages.heartbeat(2));
  }

  @Test
  void invalidBytesDoNotAffectOtherConnections() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    int port = Integer.parseInt(server.address().substring("127.0.0.1:".length()));
    Random random = new Random(5);
    for (int i = 0; i < 200; i++) {
      byte[] garbage = new byte[random.nextInt(2000)];
      random.nextBytes(garbage);
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.getOutputStream().write(garbage);
      } catch (IOException closedByServer) {
        // The server may close the connection before all bytes are written.
      }
    }
    Peer client = peer(KEY, 0, (sender, message) -> {});
    client.network.send(server.address(), SampleMessages.heartbeat(1));
    assertThat(server.nextMessage()).isEqualTo(SampleMessages.heartbeat(1));
  }

  @Test
  void malformedMessageClosesConnection() throws Exception {
    try (ScriptedPeer scripted = new ScriptedPeer(KEY)) {
      Peer client = peer(KEY, 0, (sender, message) -> {});
      client.network.connect(scripted.address());
      scripted.acceptAndAuthenticate();
      assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
      scripted.write(FrameDecoder.frame(new byte[] {(byte) 0xc1, 1, 2}));
      assertThat(client.nextReachability()).isEqualTo(Reachability.REJECTED);
      assertThat(client.messages).isEmpty();
    }
  }

  @Test
  void incompleteFrameIsDiscarded() throws Exception {
    try (ScriptedPeer scripted = new ScriptedPeer(KEY)) {
      Peer client = peer(KEY, 0, (sender, message) -> {});
      client.network.connect(scripted.address());
      scripted.acceptAndAuthenticate();
      assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
      byte[] frame =
          FrameDecoder.frame(new RecordCodec().encodeMessage(SampleMessages.heartbeat(1)));
      scripted.write(Arrays.copyOf(frame, frame.length - 1));
      scripted.disconnect();
      scripted.acceptAndAuthenticate();
      scripted.write(
          FrameDecoder.frame(new RecordCodec().encodeMessage(SampleMessages.heartbeat(2))));
      assertThat(client.nextMessage()).isEqualTo(SampleMessages.heartbeat(2));
    }
  }

  @Test
  void slowReceiverAppliesBackPressure() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    Peer server = peer(KEY, 0, (sender, message) -> await(release));
    Peer client = peer(KEY, 0, (sender, message) -> {});
    PeerMessage last = SampleMessages.heartbeat(3_000);
    for (int i = 1; i < 3_000; i++) {
      client.network.send(server.address(), SampleMessages.heartbeat(i));
    }
    client.network.send(server.address(), last);
    assertThat(server.nextMessage()).isNotNull();
    release.countDown();
    PeerMessage message = server.nextMessage();
    while (!message.equals(last)) {
      message = server.nextMessage();
    }
    assertThat(client.network.counters().messagesSent()).isEqualTo(3_000);
  }

  @Test
  void invalidAddressesAreIgnored() throws Exception {
    Peer client = peer(KEY, 0, (sender, message) -> {});
    for (String address : List.of("", "localhost:1", "127.0.0.1", "127.0.0.1:0", "1.2.3.4:x")) {
      client.network.send(address, SampleMessages.heartbeat(1));
    }
    assertThat(client.network.counters().links()).isEqualTo(0);
  }

  @Test
  @Timeout(TIMEOUT_S)
  void unusedLinksAreClosed() throws Exception {
    Peer client = peer(KEY, 0, (sender, message) -> {});
    String address = "127.0.0.1:" + freePort();
    client.network.send(address, SampleMessages.heartbeat(1));
    assertThat(client.nextReachability()).isEqualTo(Reachability.REFUSED);
    clockMs.addAndGet(59_999);
    assertThat(client.network.probe(address).get(TIMEOUT_S, TimeUnit.SECONDS))
        .isEqualTo(Reachability.REFUSED);
    assertThat(client.network.counters().links()).isEqualTo(1);
    clockMs.addAndGet(60_000);
    while (client.network.counters().links() > 0) {
      Thread.onSpinWait();
    }
    assertThat(client.network.reachability(address)).isEqualTo(Reachability.UNKNOWN);
  }

  @Test
  void retainClosesOtherLinks() throws Exception {
    Peer server = peer(KEY, 0, (sender, message) -> {});
    Peer client = peer(KEY, 0, (sender, message) -> {});
    client.network.connect(server.address());
    assertThat(client.nextReachability()).isEqualTo(Reachability.CONNECTED);
    client.network.retain(Set.of());
    assertThat(client.network.counters().links()).isEqualTo(0);
    assertThat(client.network.reachability(server.address())).isEqualTo(Reachability.UNKNOWN);
  }

  private static void await(CountDownLatch release) {
    try {
      release.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Peer peer(SharedKey key, int port, PeerHandler handler) {
    Peer peer = new Peer(key, port, handler);
    resources.add(peer.network);
    resources.add(peer.thread);
    return peer;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** A process with a peer network that records what it receives. */
  private final class Peer {

    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> senders = new LinkedBlockingQueue<>();
    private final BlockingQueue<Reachability> reachabilities = new LinkedBlockingQueue<>();
    private final ControlThread thread = new ControlThread("test", FailureHandler.logging());
    private final TcpPeerNetwork network;

    Peer(SharedKey key, int port, PeerHandler handler) {
      PeerHandler recording =
          (sender, message) -> {
            messages.add(message);
            senders.add(sender.peerAddress());
            handler.onMessage(sender, message);
          };
      network =
          new TcpPeerNetwork(
              PeerNetworkSettings.usual("127.0.0.1", port, key),
              recording,
              (address, reachability) -> reachabilities.add(reachability),
              thread,
              clockMs::get,
              new Random(1));
      network.start();
    }

    String address() {
      return network.localAddress();
    }

    PeerMessage nextMessage() throws InterruptedException {
      return messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    String nextSender() throws InterruptedException {
      return senders.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    Reachability nextReachability() throws InterruptedException {
      return reachabilities.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }
  }
}
