package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.wire.internal.CloseReason;
import io.cuminvalve.wire.internal.Connection;
import io.cuminvalve.wire.internal.ConnectionListener;
import io.cuminvalve.wire.internal.Delivery;
import io.cuminvalve.wire.internal.OutboundQueue;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Accepts connections from peers. All methods except the constructor, {@link #localAddress} and the
 * counters run on the reactor thread.
 *
 * @since 0.1
 */
final class PeerServer {

  /** The maximum number of inbound connections; further ones are closed on accept. */
  static final int MAX_CONNECTIONS = 4096;

  /** A connection is closed after receiving nothing for this multiple of {@code silentAfterMs}. */
  private static final int IDLE_FACTOR = 20;

  private static final int BACKLOG = 256;

  private final PeerContext context;
  private final ServerSocketChannel listener;
  private final Set<InboundConnection> inbound = ConcurrentHashMap.newKeySet();

  PeerServer(PeerContext context) {
    this.context = context;
    PeerNetworkSettings settings = context.settings();
    try {
      this.listener = ServerSocketChannel.open();
      listener.configureBlocking(false);
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      InetAddress host = InetAddress.getByName(settings.bindHost());
      listener.bind(new InetSocketAddress(host, settings.bindPort()), BACKLOG);
      context.reactor().register(listener, SelectionKey.OP_ACCEPT, this::accept);
    } catch (IOException failure) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE,
          "cannot bind peer listener: " + settings.bindHost() + ":" + settings.bindPort(),
          failure);
    }
  }

  String localAddress() {
    return PeerAddress.format(context.settings().bindHost(), listener.socket().getLocalPort());
  }

  int connectionCount() {
    return inbound.size();
  }

  long droppedCount() {
    return inbound.stream().mapToLong(peer -> peer.queue.droppedCount()).sum();
  }

  void tick(long nowMs) {
    for (InboundConnection peer : inbound) {
      peer.tick(nowMs);
    }
  }

  void close() {
    try {
      listener.close();
    } catch (IOException ignored) {
      // The process is stopping.
    }
    for (InboundConnection peer : List.copyOf(inbound)) {
      peer.connection.close(new CloseReason(CloseReason.Kind.LOCAL, "closed"));
    }
  }

  private void accept() {
    try {
      for (SocketChannel channel = listener.accept();
          channel != null;
          channel = listener.accept()) {
        serve(channel);
      }
    } catch (IOException exhausted) {
      // The process has run out of file descriptors; the peer will reconnect.
      context.countRejected();
    }
  }

  private void serve(SocketChannel channel) throws IOException {
    if (inbound.size() >= MAX_CONNECTIONS) {
      context.countRejected();
      channel.close();
      return;
    }
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    InboundConnection peer = new InboundConnection(channel);
    inbound.add(peer);
    peer.connection.register(context.reactor());
  }

  /** A connection opened by a peer. */
  private final class InboundConnection implements PeerChannel, ConnectionListener {

    private final OutboundQueue queue = new OutboundQueue(context.settings().queueCapacity());
    private final Connection connection;
    private final Delivery delivery;
    private long lastReceivedMs = context.clock().nowMs();
    private volatile boolean closed;

    InboundConnection(SocketChannel channel) {
      this.connection = new Connection(channel, context.serverHandshake(), queue, true, this);
      this.delivery = new Delivery(context.executor(), context.reactor(), connection);
    }

    @Override
    public String peerAddress() {
      return connection.clientAddress();
    }

    @Override
    public boolean send(PeerMessage message) {
      if (closed) {
        return false;
      }
      context.enqueue(queue, message);
      context.reactor().execute(connection::flush);
      return true;
    }

    void tick(long nowMs) {
      boolean established = connection.isEstablished();
      PeerNetworkSettings settings = context.settings();
      long timeoutMs =
          established ? IDLE_FACTOR * settings.silentAfterMs() : settings.connectTimeoutMs();
      if (nowMs - lastReceivedMs >= timeoutMs) {
        connection.close(new CloseReason(CloseReason.Kind.SILENT, "no data received in time"));
      }
    }

    @Override
    public void onEstablished(Connection established) {
      lastReceivedMs = context.clock().nowMs();
    }

    @Override
    public void onDataReceived(Connection from) {
      lastReceivedMs = context.clock().nowMs();
    }

    @Override
    public void onFrame(Connection from, byte[] frame) {
      PeerMessage message = context.decode(frame);
      delivery.deliver(() -> context.handle(this, message));
    }

    @Override
    public void onClosed(Connection from, CloseReason reason) {
      closed = true;
      inbound.remove(this);
      context.countDropped(queue);
      if (reason.kind() == CloseReason.Kind.PROTOCOL) {
        context.countRejected();
      }
    }
  }
}
