package io.cuminvalve.core.reach;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelaySelectorTest {

  private static final DataCentreId HERE = new DataCentreId("here");
  private static final DataCentreId THERE = new DataCentreId("there");
  private static final ReachShare ALL = new ReachShare(10, 0);

  @Test
  void gatewaysOfTheSameDataCentreComeFirst() {
    List<RelaySelector.Candidate> candidates =
        List.of(candidate("b:1", THERE, ALL), candidate("a:1", HERE, ALL));
    assertThat(RelaySelector.choose(candidates, "x:1", HERE))
        .containsExactly(new RelayPeer("a:1", HERE), new RelayPeer("b:1", THERE))
        .inOrder();
  }

  @Test
  void gatewaysThatReachFewOrTakeNothingAreNotChosen() {
    List<RelaySelector.Candidate> candidates =
        List.of(
            candidate("", HERE, ALL),
            candidate("x:1", HERE, ALL),
            candidate("a:1", HERE, new ReachShare(2, 8)),
            candidate("b:1", HERE, new ReachShare(0, 0)),
            candidate("c:1", THERE, new ReachShare(8, 2)));
    assertThat(RelaySelector.choose(candidates, "x:1", HERE))
        .containsExactly(new RelayPeer("c:1", THERE));
  }

  @Test
  void gatewaysStartAtDifferentOnes() {
    List<RelaySelector.Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      candidates.add(candidate("10.0.0." + i + ":1", THERE, ALL));
    }
    Set<RelayPeer> first = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      List<RelayPeer> chosen = RelaySelector.choose(candidates, "10.1.0." + i + ":1", HERE);
      assertThat(chosen).hasSize(RelaySelector.MAX_RELAYS);
      first.add(chosen.get(0));
    }
    assertThat(first.size()).isAtLeast(10);
  }

  private static RelaySelector.Candidate candidate(
      String address, DataCentreId dataCentre, ReachShare share) {
    return new RelaySelector.Candidate(new RelayPeer(address, dataCentre), share);
  }
}
