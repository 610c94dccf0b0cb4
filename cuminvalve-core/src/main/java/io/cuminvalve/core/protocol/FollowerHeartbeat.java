package io.cuminvalve.core.protocol;

/**
 * The answer of a process that does not hold the term to a hello: what it knows of the store.
 *
 * @param term the newest term that it knows; 0 if it knows none
 * @param holderAddress the peer address of that term's holder; empty if unknown; not null
 * @param termAgeMs how old that knowledge is; milliseconds
 * @param configurationRevision the store's revision of the configuration that it knows; 0 if none
 * @param configurationAgeMs how old that knowledge is; milliseconds
 * @param helloSentMs when the hello that this answers was sent, by its sender's clock; milliseconds
 * @since 0.2
 */
public record FollowerHeartbeat(
    long term,
    String holderAddress,
    long termAgeMs,
    long configurationRevision,
    long configurationAgeMs,
    long helloSentMs)
    implements FleetMessage {}
