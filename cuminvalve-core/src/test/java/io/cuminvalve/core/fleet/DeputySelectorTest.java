package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.DeputySelector.Candidate;
import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DeputySelectorTest {

  @Test
  void allGatewaysOfSmallFleetAreDeputies() {
    List<String> chosen =
        DeputySelector.choose(List.of(candidate("a", "x", 0.6), candidate("b", "y", 0.6)));
    assertThat(chosen).containsExactly("a", "b");
  }

  @Test
  void noCandidatesGiveNoDeputies() {
    assertThat(DeputySelector.choose(List.of())).isEmpty();
  }

  /** Five data centres with three strong and sixteen weak hosts each. */
  @Test
  void theStrongestOfEachDataCentreAreChosenInTurn() {
    List<Candidate> fleet = new ArrayList<>();
    for (int centre = 0; centre < 5; centre++) {
      for (int host = 0; host < 19; host++) {
        double cores = host < 3 ? 1.5 : 0.3;
        fleet.add(
            candidate("dc" + centre + "-" + (host < 3 ? "s" : "w") + host, "dc" + centre, cores));
      }
    }
    List<String> chosen = DeputySelector.choose(fleet);
    assertThat(chosen).hasSize(DeputySelector.DEPUTIES);
    for (int centre = 0; centre < 5; centre++) {
      String prefix = "dc" + centre + "-s";
      assertThat(chosen.stream().filter(address -> address.startsWith(prefix)).count())
          .isAtLeast(1);
    }
    assertThat(chosen.stream().filter(address -> address.contains("-w")).count()).isEqualTo(0);
    Collections.shuffle(fleet, new Random(3));
    assertThat(DeputySelector.choose(fleet)).isEqualTo(chosen);
  }

  private static Candidate candidate(String address, String dataCentre, double cores) {
    return new Candidate(address, new DataCentreId(dataCentre), cores);
  }
}
