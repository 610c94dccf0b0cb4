package io.cuminvalve.core.stop;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Decides whether the other gateways of a data centre take over from one that stops, so that it
 * need not listen any longer.
 *
 * <p>Answers stops of many gateways at a time: callers are directed to gateways that stop or have
 * ended as long as fewer than half of those in the data centre are ready. Then one of them goes on
 * listening while the others start again, and stops when they are ready. It is the last one by
 * address of those that still listen, as far as the gateway knew when its stop began, so that they
 * need not agree. Those that stop with different knowledge may choose several.
 *
 * @since 0.2
 */
public final class ZoneSuccession {

  private final String address;
  private final DataCentreId dataCentre;
  private final Set<String> others;
  private final Set<String> listening;

  /**
   * Creates the decision at the begin of a stop.
   *
   * @param address where this gateway takes requests of peers; not null
   * @param dataCentre its data centre; not null
   * @param known the gateways that run or start again; not null
   * @param listening those of them that were ready so lately that they still listen if they stop;
   *     not null
   */
  public ZoneSuccession(
      String address, DataCentreId dataCentre, List<RelayPeer> known, List<RelayPeer> listening) {
    this.address = address;
    this.dataCentre = dataCentre;
    this.others = addressesOf(known);
    this.listening = addressesOf(listening);
  }

  /**
   * Returns whether this gateway may end as far as callers need a gateway that listens.
   *
   * @param readyPeers the gateways that are ready, as told recently; empty if nobody has told; not
   *     null
   * @return true if enough others are ready, or another one goes on listening
   */
  public boolean isTakenOver(Optional<List<RelayPeer>> readyPeers) {
    int ready = readyPeers.map(peers -> addressesOf(peers).size()).orElse(0);
    return others.isEmpty() || 2 * ready >= others.size() + 1 || !isLast();
  }

  private boolean isLast() {
    return listening.stream().allMatch(other -> other.compareTo(address) < 0);
  }

  private Set<String> addressesOf(List<RelayPeer> peers) {
    return peers.stream()
        .filter(peer -> peer.dataCentre().equals(dataCentre))
        .map(RelayPeer::address)
        .filter(other -> !other.equals(address))
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
