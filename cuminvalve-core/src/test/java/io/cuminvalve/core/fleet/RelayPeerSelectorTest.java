package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.DataCentreId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RelayPeerSelectorTest {

  private static final DataCentreId HERE = new DataCentreId("here");
  private static final DataCentreId THERE = new DataCentreId("there");
  private static final RelayPeer NEAR = new RelayPeer("10.0.0.1:1", HERE);
  private static final RelayPeer NEAR_TOO = new RelayPeer("10.0.0.2:1", HERE);
  private static final RelayPeer FAR = new RelayPeer("10.0.1.1:1", THERE);
  private static final List<RelayPeer> ALL = List.of(FAR, NEAR, NEAR_TOO);

  private final RelayPeerSelector selector = new RelayPeerSelector(HERE, new SplittableRandom(5));

  @Test
  void peersInTheOwnDataCentreComeFirstAndShareTheRequests() {
    Map<RelayPeer, Integer> counts = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      counts.merge(selector.select(ALL, Set.of(), 0).orElseThrow(), 1, Integer::sum);
    }
    assertThat(counts.keySet()).containsExactly(NEAR, NEAR_TOO);
    assertThat(counts.get(NEAR)).isAtLeast(400);
    assertThat(counts.get(NEAR_TOO)).isAtLeast(400);
  }

  @Test
  void noPeerIsTriedTwice() {
    Set<String> near = Set.of(NEAR.address(), NEAR_TOO.address());
    assertThat(selector.select(ALL, near, 0)).isEqualTo(Optional.of(FAR));
    assertThat(selector.select(List.of(NEAR, NEAR_TOO), near, 0)).isEqualTo(Optional.empty());
    assertThat(selector.select(List.of(), Set.of(), 0)).isEqualTo(Optional.empty());
  }

  @Test
  void uselessPeersComeLastForSomeTime() {
    selector.onUseless(NEAR.address(), 0);
    selector.onUseless(NEAR_TOO.address(), 0);
    assertThat(selector.select(ALL, Set.of(), 10)).isEqualTo(Optional.of(FAR));
    assertThat(selector.select(List.of(NEAR), Set.of(), 10)).isEqualTo(Optional.of(NEAR));
    long laterMs = RelayPeerSelector.AVOID_MS;
    assertThat(selector.select(ALL, Set.of(), laterMs).orElseThrow().dataCentre()).isEqualTo(HERE);
  }
}
