package io.cuminvalve.core.protocol;

/**
 * Reply to a {@link FleetHello} from a process that does not hold the term: its view of the store.
 *
 * @param term the newest term known to the sender; 0 if none
 * @param holderAddress peer address of the holder of that term; empty if unknown; not null
 * @param termAgeMs age of the term reading; milliseconds
 * @param configurationRevision the store revision of the sender's configuration; 0 if none
 * @param configurationAgeMs age of the configuration reading; milliseconds
 * @param helloSentMs send time of the hello being answered, on its sender's clock; milliseconds
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
