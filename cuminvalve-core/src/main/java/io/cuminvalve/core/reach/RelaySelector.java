package io.cuminvalve.core.reach;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the gateways to which one without a path to the targets may pass its requests.
 *
 * <p>Those of its own data centre come first, since bytes between data centres are billed. Each
 * gateway starts at another one of them, so that their load is spread.
 *
 * @since 0.2
 */
public final class RelaySelector {

  /** The maximum number of gateways selected. */
  public static final int MAX_RELAYS = 8;

  /**
   * A gateway that may relay requests.
   *
   * @param peer the gateway; its address is empty if it takes none; not null
   * @param share the targets that it reaches; not null
   */
  public record Candidate(RelayPeer peer, ReachShare share) {}

  private RelaySelector() {}

  /**
   * Selects gateways that reach most targets. The result does not depend on the order of the
   * candidates.
   *
   * @param candidates all gateways; not null
   * @param askerAddress where the asking gateway itself takes such requests; not null
   * @param askerDataCentre its data centre; not null
   * @return at most {@link #MAX_RELAYS} gateways without the asking one; never null
   */
  public static List<RelayPeer> choose(
      Collection<Candidate> candidates, String askerAddress, DataCentreId askerDataCentre) {
    List<RelayPeer> near = new ArrayList<>();
    List<RelayPeer> far = new ArrayList<>();
    for (Candidate candidate : candidates) {
      RelayPeer peer = candidate.peer();
      boolean offers = !peer.address().isEmpty() && !peer.address().equals(askerAddress);
      if (offers && candidate.share().reachesMost()) {
        (peer.dataCentre().equals(askerDataCentre) ? near : far).add(peer);
      }
    }
    List<RelayPeer> chosen = rotate(near, askerAddress);
    chosen.addAll(rotate(far, askerAddress));
    return List.copyOf(chosen.subList(0, Math.min(MAX_RELAYS, chosen.size())));
  }

  private static List<RelayPeer> rotate(List<RelayPeer> peers, String askerAddress) {
    peers.sort(Comparator.comparing(RelayPeer::address));
    List<RelayPeer> rotated = new ArrayList<>();
    for (int i = 0; i < peers.size(); i++) {
      int position = Math.floorMod(askerAddress.hashCode() + i, peers.size());
      rotated.add(peers.get(position));
    }
    return rotated;
  }
}
