package io.cuminvalve.wire;

/**
 * Counters of a peer network since its start.
 *
 * @param messagesSent messages queued on a link or channel
 * @param messagesReceived messages received
 * @param messagesDropped messages dropped because a queue was full or a peer was unreachable
 * @param connectionsRejected connections that failed the handshake, violated the protocol or
 *     exceeded the limit of connections or file descriptors
 * @param links outgoing links, connected or connecting
 * @param inbound open connections that were accepted from peers
 * @since 0.1
 */
public record PeerNetworkCounters(
    long messagesSent,
    long messagesReceived,
    long messagesDropped,
    long connectionsRejected,
    int links,
    int inbound) {}
