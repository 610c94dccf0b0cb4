package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.Backoff;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.wire.internal.CloseReason;
import io.cuminvalve.wire.internal.Connection;
import io.cuminvalve.wire.internal.ConnectionListener;
import io.cuminvalve.wire.internal.Delivery;
import io.cuminvalve.wire.internal.OutboundQueue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The outgoing link of this process to one peer.
 *
 * <p>Connects, authenticates, sends keep-alive frames and reconnects. All methods except {@link
 * #send} and the getters run on the reactor thread.
 *
 * @since 0.1
 */
final class PeerLink implements PeerChannel, ConnectionListener {

  /** A connection is closed after this multiple of {@code silentAfterMs} without an answer. */
  private static final int CLOSE_FACTOR = 4;

  /** A link is closed when no message was sent and no probe started for this long. */
  private static final long MAX_UNUSED_MS = 60_000;

  private static final long NOT_WAITING = -1;

  private final PeerContext context;
  private final ReachabilityListener listener;
  private final String ownAddress;
  private final String peerAddress;
  private final InetSocketAddress socketAddress;
  private final Backoff backoff;
  private final OutboundQueue queue;
  private final List<Probe> probes = new ArrayList<>();
  private volatile Reachability reachability = Reachability.UNKNOWN;
  private volatile boolean closed;
  private volatile long lastUsedMs;
  private Connection connection;
  private Delivery delivery;
  private long attemptMs;
  private long nextAttemptMs;
  private long lastPingMs;
  private long unansweredSinceMs = NOT_WAITING;

  PeerLink(
      PeerContext context,
      ReachabilityListener listener,
      String ownAddress,
      String peerAddress,
      Backoff backoff) {
    this.context = context;
    this.listener = listener;
    this.ownAddress = ownAddress;
    this.peerAddress = peerAddress;
    this.socketAddress = PeerAddress.parse(peerAddress);
    this.backoff = backoff;
    this.queue = new OutboundQueue(context.settings().queueCapacity());
    this.nextAttemptMs = context.clock().nowMs();
    this.lastUsedMs = nextAttemptMs;
  }

  @Override
  public String peerAddress() {
    return peerAddress;
  }

  @Override
  public boolean send(PeerMessage message) {
    if (closed) {
      return false;
    }
    lastUsedMs = context.clock().nowMs();
    context.enqueue(queue, message);
    context.reactor().execute(this::flush);
    return true;
  }

  Reachability reachability() {
    return reachability;
  }

  long droppedCount() {
    return queue.droppedCount();
  }

  /** Returns whether no message was sent and no probe started for {@link #MAX_UNUSED_MS}. */
  boolean isUnused(long nowMs) {
    return nowMs - lastUsedMs >= MAX_UNUSED_MS;
  }

  void probe(CompletableFuture<Reachability> result) {
    long nowMs = context.clock().nowMs();
    lastUsedMs = nowMs;
    long boundMs = context.settings().connectTimeoutMs() + context.settings().silentAfterMs();
    probes.add(new Probe(result, nowMs + boundMs));
    if (isEstablished()) {
      sendPing(nowMs);
    } else if (connection == null) {
      connect(nowMs);
    }
  }

  void tick(long nowMs) {
    if (closed) {
      return;
    }
    if (connection == null) {
      if (nowMs - nextAttemptMs >= 0) {
        connect(nowMs);
      }
    } else if (!connection.isEstablished()) {
      if (nowMs - attemptMs >= context.settings().connectTimeoutMs()) {
        connection.close(new CloseReason(CloseReason.Kind.SILENT, "handshake timed out"));
      }
    } else {
      checkForSilence(nowMs);
    }
    expireProbes(nowMs);
  }

  void close() {
    closed = true;
    if (connection != null) {
      connection.close(new CloseReason(CloseReason.Kind.LOCAL, "closed"));
    }
    completeProbes(Reachability.SILENT);
    queue.clear();
    context.countDropped(queue);
  }

  @Override
  public void onEstablished(Connection established) {
    backoff.reset();
    lastPingMs = context.clock().nowMs();
    markReachable();
  }

  @Override
  public void onDataReceived(Connection from) {
    markReachable();
  }

  @Override
  public void onFrame(Connection from, byte[] frame) {
    PeerMessage message = context.decode(frame);
    delivery.deliver(() -> context.handle(this, message));
  }

  @Override
  public void onClosed(Connection from, CloseReason reason) {
    if (from != connection) {
      return;
    }
    boolean wasConnected = reachability == Reachability.CONNECTED;
    connection = null;
    unansweredSinceMs = NOT_WAITING;
    long nowMs = context.clock().nowMs();
    if (reason.kind() == CloseReason.Kind.LOST && wasConnected) {
      // Reconnect at once to detect a stopped peer: its host refuses the new connection.
      nextAttemptMs = nowMs;
      return;
    }
    nextAttemptMs = nowMs + backoff.nextMs();
    queue.clear();
    updateReachability(reachabilityAfter(reason));
  }

  private Reachability reachabilityAfter(CloseReason reason) {
    return switch (reason.kind()) {
      case REFUSED -> Reachability.REFUSED;
      case PROTOCOL, LOST -> countRejected();
      case SILENT, LOCAL -> Reachability.SILENT;
    };
  }

  private Reachability countRejected() {
    context.countRejected();
    return Reachability.REJECTED;
  }

  private void connect(long nowMs) {
    attemptMs = nowMs;
    unansweredSinceMs = NOT_WAITING;
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      Connection opened =
          new Connection(channel, context.clientHandshake(ownAddress), queue, false, this);
      connection = opened;
      delivery = new Delivery(context.executor(), context.reactor(), opened);
      channel.connect(socketAddress);
      opened.register(context.reactor());
    } catch (IOException | CodedException failure) {
      handleConnectFailure(failure);
    }
  }

  private void handleConnectFailure(Exception failure) {
    if (connection != null) {
      connection.close(CloseReason.ofConnectFailure(failure));
    } else {
      nextAttemptMs = context.clock().nowMs() + backoff.nextMs();
    }
  }

  private void checkForSilence(long nowMs) {
    if (nowMs - lastPingMs >= context.settings().keepAliveMs()) {
      sendPing(nowMs);
    }
    if (unansweredSinceMs == NOT_WAITING) {
      return;
    }
    long silentMs = nowMs - unansweredSinceMs;
    if (silentMs >= CLOSE_FACTOR * context.settings().silentAfterMs()) {
      connection.close(new CloseReason(CloseReason.Kind.SILENT, "no data received in time"));
    } else if (silentMs >= context.settings().silentAfterMs()) {
      updateReachability(Reachability.SILENT);
    }
  }

  private void sendPing(long nowMs) {
    lastPingMs = nowMs;
    if (unansweredSinceMs == NOT_WAITING) {
      unansweredSinceMs = nowMs;
    }
    connection.sendKeepAlive();
  }

  private void markReachable() {
    unansweredSinceMs = NOT_WAITING;
    updateReachability(Reachability.CONNECTED);
  }

  private void updateReachability(Reachability newReachability) {
    completeProbes(newReachability);
    if (reachability != newReachability && !closed) {
      reachability = newReachability;
      context.executor().execute(() -> listener.onChange(peerAddress, newReachability));
    }
  }

  private void completeProbes(Reachability newReachability) {
    for (Probe probe : probes) {
      context.executor().execute(() -> probe.result().complete(newReachability));
    }
    probes.clear();
  }

  private void expireProbes(long nowMs) {
    if (probes.stream().anyMatch(probe -> nowMs - probe.deadlineMs() >= 0)) {
      completeProbes(Reachability.SILENT);
    }
  }

  private boolean isEstablished() {
    return connection != null && connection.isEstablished();
  }

  private void flush() {
    if (isEstablished()) {
      connection.flush();
    }
  }

  /** A pending check whether the peer is reachable. */
  private record Probe(CompletableFuture<Reachability> result, long deadlineMs) {}
}
