package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.Backoff;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.internal.Reactor;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * A {@link PeerNetwork} over TCP.
 *
 * <p>One thread reads and writes all connections; messages are handled on the given executor. The
 * constructor binds the listener; connections are accepted from {@link #start()} on.
 *
 * @since 0.1
 */
public final class TcpPeerNetwork implements PeerNetwork {

  private final PeerContext context;
  private final Reactor reactor;
  private final PeerServer server;
  private final ReachabilityListener listener;
  private final RandomGenerator random;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Binds the listener.
   *
   * @param settings addresses, shared key, timings and limits; not null
   * @param handler receives messages; not null
   * @param listener receives changes of reachability; not null
   * @param executor runs the handler and the listener; not null
   * @param clock measures timeouts and back-off; not null
   * @param random source of jitter for the reconnect back-off; not null
   * @throws CodedException with code UNAVAILABLE if the port cannot be bound
   */
  public TcpPeerNetwork(
      PeerNetworkSettings settings,
      PeerHandler handler,
      ReachabilityListener listener,
      Executor executor,
      MillisClock clock,
      RandomGenerator random) {
    this.listener = listener;
    this.random = random;
    this.reactor = new Reactor("peers", this::tick);
    this.context = new PeerContext(settings, handler, executor, clock, reactor);
    this.server = new PeerServer(context);
  }

  /** Starts to accept connections and to connect to peers. */
  public void start() {
    reactor.start();
  }

  @Override
  public String localAddress() {
    return server.localAddress();
  }

  @Override
  public void send(String peerAddress, PeerMessage message) {
    findLink(peerAddress).ifPresent(link -> link.send(message));
  }

  @Override
  public void connect(String peerAddress) {
    findLink(peerAddress);
  }

  @Override
  public Reachability reachability(String peerAddress) {
    PeerLink link = links.get(peerAddress);
    return link == null ? Reachability.UNKNOWN : link.reachability();
  }

  @Override
  public CompletableFuture<Reachability> probe(String peerAddress) {
    CompletableFuture<Reachability> result = new CompletableFuture<>();
    Optional<PeerLink> link = findLink(peerAddress);
    if (link.isPresent()) {
      reactor.execute(() -> link.get().probe(result));
    } else {
      result.complete(Reachability.SILENT);
    }
    return result;
  }

  @Override
  public PeerNetworkCounters counters() {
    long dropped = server.droppedCount();
    for (PeerLink link : links.values()) {
      dropped += link.droppedCount();
    }
    return context.counters(dropped, links.size(), server.connectionCount());
  }

  @Override
  public void retain(Set<String> peerAddresses) {
    for (String address : links.keySet()) {
      PeerLink link = peerAddresses.contains(address) ? null : links.remove(address);
      if (link != null) {
        reactor.execute(link::close);
      }
    }
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    retain(Set.of());
    reactor.execute(server::close);
    reactor.close();
  }

  private Optional<PeerLink> findLink(String peerAddress) {
    if (closed) {
      return Optional.empty();
    }
    try {
      return Optional.of(links.computeIfAbsent(peerAddress, this::open));
    } catch (CodedException unusable) {
      // Addresses come from other processes: an invalid one must not fail the caller.
      Logger.warn("Cannot open link to peer: {}", unusable.getMessage());
      return Optional.empty();
    }
  }

  private PeerLink open(String peerAddress) {
    PeerNetworkSettings settings = context.settings();
    if (links.size() >= PeerServer.MAX_CONNECTIONS) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "too many links to peers");
    }
    Backoff backoff = new Backoff(settings.backoffMinMs(), settings.backoffMaxMs(), random);
    return new PeerLink(context, listener, localAddress(), peerAddress, backoff);
  }

  private void tick() {
    long nowMs = context.clock().nowMs();
    for (PeerLink link : links.values()) {
      if (link.isUnused(nowMs)) {
        // Peers are replaced over time; links to stopped peers must not accumulate.
        links.remove(link.peerAddress(), link);
        link.close();
      } else {
        link.tick(nowMs);
      }
    }
    server.tick(nowMs);
  }
}
