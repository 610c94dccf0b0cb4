package io.cuminvalve.gateway.control;

/**
 * Who holds the term, as the store keeps it.
 *
 * @param process the holder's id; not null
 * @param nonce tells runs of the same process apart
 * @param peerAddress where gateways reach it; not null
 * @since 0.2
 */
public record TermHolderRecord(String process, long nonce, String peerAddress) {}
