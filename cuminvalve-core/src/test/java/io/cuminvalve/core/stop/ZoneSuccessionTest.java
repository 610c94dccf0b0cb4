package io.cuminvalve.core.stop;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ZoneSuccessionTest {

  private static final DataCentreId HERE = new DataCentreId("here");
  private static final DataCentreId THERE = new DataCentreId("there");
  private static final List<String> ZONE = List.of("a", "b", "c");

  @Test
  void oneOfAllThatStopGoesOnListening() {
    long listening =
        ZONE.stream().filter(self -> !succession(self, ZONE).isTakenOver(told())).count();
    assertThat(listening).isEqualTo(1);
  }

  @Test
  void itStopsWhenHalfOfThemAreReady() {
    ZoneSuccession last = succession("c", ZONE);
    assertThat(last.isTakenOver(told("a"))).isFalse();
    assertThat(last.isTakenOver(told("a", "b"))).isTrue();
  }

  /** Guards against a list from before the others stopped. */
  @Test
  void withoutRecentNewsItGoesOnListening() {
    assertThat(succession("c", ZONE).isTakenOver(Optional.empty())).isFalse();
  }

  /**
   * Guards against gateways that stop one after the other, and all take another one for the last.
   */
  @Test
  void stopsWithDifferentKnowledgeLeaveOneThatListens() {
    assertThat(succession("c", ZONE).isTakenOver(told())).isFalse();
    ZoneSuccession later = succession("b", ZONE, List.of("a"));
    assertThat(later.isTakenOver(told("a"))).isFalse();
    assertThat(later.isTakenOver(told("a", "c"))).isTrue();
    assertThat(succession("a", ZONE, List.of()).isTakenOver(told("c"))).isFalse();
  }

  @Test
  void otherDataCentresDoNotTakeOver() {
    ZoneSuccession last = succession("c", ZONE);
    List<RelayPeer> remote = List.of(new RelayPeer("d", THERE), new RelayPeer("e", THERE));
    assertThat(last.isTakenOver(Optional.of(remote))).isFalse();
  }

  /** Nobody is waited for where no other gateway is known, since none can take over. */
  @Test
  void singleGatewaysDoNotWait() {
    assertThat(succession("a", List.of()).isTakenOver(told())).isTrue();
  }

  private static ZoneSuccession succession(String self, List<String> others) {
    return succession(self, others, others);
  }

  private static ZoneSuccession succession(
      String self, List<String> others, List<String> listening) {
    return new ZoneSuccession(
        self, HERE, peers(others.toArray(String[]::new)), peers(listening.toArray(String[]::new)));
  }

  private static Optional<List<RelayPeer>> told(String... ready) {
    return Optional.of(peers(ready));
  }

  private static List<RelayPeer> peers(String... addresses) {
    return Arrays.stream(addresses).map(address -> new RelayPeer(address, HERE)).toList();
  }
}
