package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by the holder of the term to every process that said hello lately.
 *
 * @param term the holder's term
 * @param processes how many processes said hello lately, the holder included
 * @param registryAgeMs how old the holder's knowledge of the targets is; milliseconds
 * @param termAgeMs when the store last confirmed the term, before now; milliseconds
 * @param configurationRevision the store's revision of the configuration that the holder knows; 0
 *     if it knows none
 * @param configurationAgeMs how old that knowledge is; milliseconds
 * @param deputies the peer addresses of the gateways that follow the store beside the holder; not
 *     null
 * @param targetsVersion the version of the targets that the holder has told in its term; {@link
 *     Long#MAX_VALUE} if it has told none
 * @param helloSentMs when the hello that this answers was sent, by its sender's clock; milliseconds
 * @since 0.2
 */
public record FleetHeartbeat(
    long term,
    int processes,
    long registryAgeMs,
    long termAgeMs,
    long configurationRevision,
    long configurationAgeMs,
    List<String> deputies,
    long targetsVersion,
    long helloSentMs)
    implements FleetMessage {

  /** Copies the list. */
  public FleetHeartbeat {
    deputies = List.copyOf(deputies);
  }
}
