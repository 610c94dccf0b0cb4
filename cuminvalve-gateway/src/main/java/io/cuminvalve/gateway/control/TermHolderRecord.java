package io.cuminvalve.gateway.control;

/**
 * The holder of the term, as stored under the key of the term.
 *
 * @param process the id of the holder; not null
 * @param nonce distinguishes runs of the same process
 * @param peerAddress the peer address of the holder; not null
 * @since 0.2
 */
public record TermHolderRecord(String process, long nonce, String peerAddress) {}
