package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Sends and receives messages between the processes of an installation. Thread-safe.
 *
 * @since 0.1
 */
public interface PeerNetwork extends AutoCloseable {

  /**
   * Returns the address on which this process listens for peers.
   *
   * @return IP address and port, never null
   */
  String localAddress();

  /**
   * Sends a message to a peer. All messages to a peer share one link, which is opened on first use.
   *
   * <p>A broken link reconnects with increasing back-off, and is closed after one minute without
   * use. The queue of outgoing messages is bounded as described at {@link PeerChannel#send}.
   *
   * @param peerAddress IP address and port of the peer's listener; not null
   * @param message the message; not null
   */
  void send(String peerAddress, PeerMessage message);

  /**
   * Opens a link without sending a message, to monitor whether the peer is reachable.
   *
   * @param peerAddress IP address and port of the peer's listener; not null
   */
  void connect(String peerAddress);

  /**
   * Returns the reachability of a peer.
   *
   * @param peerAddress IP address and port of the peer's listener; not null
   * @return UNKNOWN if there is no link to the peer; never null
   */
  Reachability reachability(String peerAddress);

  /**
   * Checks whether a peer is reachable, over its link, which is opened if necessary.
   *
   * @param peerAddress IP address and port of the peer's listener; not null
   * @return CONNECTED, REFUSED, REJECTED or SILENT; completes normally within a bounded time, on
   *     the executor of the network
   */
  CompletableFuture<Reachability> probe(String peerAddress);

  /**
   * Returns the counters of the network since its start.
   *
   * @return never null
   */
  PeerNetworkCounters counters();

  /**
   * Closes the links to all peers other than the given ones.
   *
   * @param peerAddresses the peers whose links are kept; not null
   */
  void retain(Set<String> peerAddresses);

  /** Closes the listener and all links. Idempotent. */
  @Override
  void close();
}
