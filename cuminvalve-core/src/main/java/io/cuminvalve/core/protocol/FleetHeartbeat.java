package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.RelayPeer;
import java.util.List;

/**
 * Sent by the term holder in reply to {@link FleetHello}.
 *
 * @param term the term of the holder
 * @param processes number of processes that sent a hello recently, including the holder
 * @param registryAgeMs age of the holder's view of the target registry; milliseconds
 * @param termAgeMs time since the store last confirmed the term; milliseconds
 * @param configurationRevision the store revision of the holder's configuration; 0 if it has none
 * @param configurationAgeMs age of that configuration reading; milliseconds
 * @param deputies peer addresses of the gateways that also follow the store; not null
 * @param targetsVersion the version of the target list that the holder last published in its term;
 *     {@link Long#MAX_VALUE} if it has published none
 * @param helloSentMs send time of the hello being answered, on its sender's clock; milliseconds
 * @param relays gateways that reach targets and take requests for them from the receiver; not null
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
    long helloSentMs,
    List<RelayPeer> relays)
    implements FleetMessage {

  /** Copies the lists. */
  public FleetHeartbeat {
    deputies = List.copyOf(deputies);
    relays = List.copyOf(relays);
  }
}
