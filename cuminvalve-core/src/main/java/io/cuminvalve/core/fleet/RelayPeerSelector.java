package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the gateway that sends a request for one that has no path to the targets.
 *
 * <p>Gateways in the own data centre come first, since traffic between data centres is billed, and
 * those that were of no use a moment ago come last. Among equals the choice is random, so that the
 * requests of several gateways spread. Not thread-safe.
 *
 * @since 0.2
 */
public final class RelayPeerSelector {

  /** For how long a gateway that was of no use comes after all others. */
  static final long AVOID_MS = 1_000;

  private static final int AVOIDED_RANK = 2;
  private static final int REMOTE_RANK = 1;

  private final DataCentreId dataCentre;
  private final RandomGenerator random;
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();

  /**
   * Creates a selector.
   *
   * @param dataCentre the data centre of this gateway; not null
   * @param random spreads the requests; not null
   */
  public RelayPeerSelector(DataCentreId dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Selects a gateway.
   *
   * @param peers the gateways that have a path; not null
   * @param tried the addresses that have already been tried for the request; not null
   * @param nowMs the current time; milliseconds
   * @return empty if all have been tried; never null
   */
  public Optional<RelayPeer> select(List<RelayPeer> peers, Set<String> tried, long nowMs) {
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    List<RelayPeer> best = new ArrayList<>();
    int bestRank = Integer.MAX_VALUE;
    for (RelayPeer peer : peers) {
      int rank = rankOf(peer);
      if (tried.contains(peer.address()) || rank > bestRank) {
        continue;
      }
      if (rank < bestRank) {
        best.clear();
        bestRank = rank;
      }
      best.add(peer);
    }
    return best.isEmpty() ? Optional.empty() : Optional.of(best.get(random.nextInt(best.size())));
  }

  /**
   * Records that a gateway could not be reached, failed, or takes no requests for now.
   *
   * @param address its address; not null
   * @param nowMs the current time; milliseconds
   */
  public void onUseless(String address, long nowMs) {
    avoidedUntilMs.put(address, nowMs + AVOID_MS);
  }

  private int rankOf(RelayPeer peer) {
    int avoided = avoidedUntilMs.containsKey(peer.address()) ? AVOIDED_RANK : 0;
    int remote = peer.dataCentre().equals(dataCentre) ? 0 : REMOTE_RANK;
    return avoided + remote;
  }
}
