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
 * The link that this process keeps to one peer.
 *
 * <p>Connects, proves the shared key, keeps the connection alive and connects again. All but {@link
 * #send} and the plain questions run on the reactor's thread.
 *
 * @since 0.1
 */
final class PeerLink implements PeerChannel, ConnectionListener {

  /** A silent link is closed after this many times the span after which it counts as silent. */
  private static final int CLOSE_FACTOR = 4;

  /** A link is given up once nobody has used it for this long. */
  private static final long UNUSED_MS = 60_000;

  private static final long NEVER = -1;

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
  private long unansweredSinceMs = NEVER;

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

  /** Tells whether the link may go: it leads to a peer that nobody has written to for long. */
  boolean isUnused(long nowMs) {
    return nowMs - lastUsedMs >= UNUSED_MS;
  }

  void probe(CompletableFuture<Reachability> result) {
    long nowMs = context.clock().nowMs();
    lastUsedMs = nowMs;
    long boundMs = context.settings().connectTimeoutMs() + context.settings().silentAfterMs();
    probes.add(new Probe(result, nowMs + boundMs));
    if (isEstablished()) {
      ping(nowMs);
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
        connection.close(new CloseReason(CloseReason.Kind.SILENT, "no handshake in time"));
      }
    } else {
      watchForSilence(nowMs);
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
    becameReachable();
  }

  @Override
  public void onSignOfLife(Connection from) {
    becameReachable();
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
    boolean worked = reachability == Reachability.CONNECTED;
    connection = null;
    unansweredSinceMs = NEVER;
    long nowMs = context.clock().nowMs();
    if (reason.kind() == CloseReason.Kind.LOST && worked) {
      // Whether the peer is gone shows at once: its host refuses the next connection.
      nextAttemptMs = nowMs;
      return;
    }
    nextAttemptMs = nowMs + backoff.nextMs();
    queue.clear();
    settle(afterFailure(reason));
  }

  private Reachability afterFailure(CloseReason reason) {
    return switch (reason.kind()) {
      case REFUSED -> Reachability.REFUSED;
      case PROTOCOL, LOST -> rejected();
      case SILENT, LOCAL -> Reachability.SILENT;
    };
  }

  private Reachability rejected() {
    context.countRejected();
    return Reachability.REJECTED;
  }

  private void connect(long nowMs) {
    attemptMs = nowMs;
    unansweredSinceMs = NEVER;
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
      failConnect(failure);
    }
  }

  private void failConnect(Exception failure) {
    if (connection != null) {
      connection.close(CloseReason.ofConnectFailure(failure));
    } else {
      nextAttemptMs = context.clock().nowMs() + backoff.nextMs();
    }
  }

  private void watchForSilence(long nowMs) {
    if (nowMs - lastPingMs >= context.settings().keepAliveMs()) {
      ping(nowMs);
    }
    if (unansweredSinceMs == NEVER) {
      return;
    }
    long silentMs = nowMs - unansweredSinceMs;
    if (silentMs >= CLOSE_FACTOR * context.settings().silentAfterMs()) {
      connection.close(new CloseReason(CloseReason.Kind.SILENT, "no sign of life"));
    } else if (silentMs >= context.settings().silentAfterMs()) {
      settle(Reachability.SILENT);
    }
  }

  private void ping(long nowMs) {
    lastPingMs = nowMs;
    if (unansweredSinceMs == NEVER) {
      unansweredSinceMs = nowMs;
    }
    connection.sendKeepAlive();
  }

  private void becameReachable() {
    unansweredSinceMs = NEVER;
    settle(Reachability.CONNECTED);
  }

  private void settle(Reachability found) {
    completeProbes(found);
    if (reachability != found && !closed) {
      reachability = found;
      context.executor().execute(() -> listener.onChange(peerAddress, found));
    }
  }

  private void completeProbes(Reachability found) {
    for (Probe probe : probes) {
      context.executor().execute(() -> probe.result().complete(found));
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

  /** Somebody who waits to hear whether the peer lives. */
  private record Probe(CompletableFuture<Reachability> result, long deadlineMs) {}
}
