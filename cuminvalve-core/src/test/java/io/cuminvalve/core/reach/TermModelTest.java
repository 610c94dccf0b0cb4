package io.cuminvalve.core.reach;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** One gateway without a path to the targets must not stop the keys of the whole fleet. */
class TermModelTest {

  private static final int GATEWAYS = 8;
  private static final int TARGETS = 20;
  private static final int SEEDS = 20;
  private static final long CALM_MS = 2_000;

  /** Within this time of the cut, a gateway that reaches the targets has to hold the term. */
  private static final long TAKEOVER_MS = 2_800;

  @Test
  void cutHolderLeavesTheTermWhoeverElseIsCut() {
    for (int cut = 1; cut < GATEWAYS; cut++) {
      for (int seed = 0; seed < SEEDS; seed++) {
        TermModel model = cutFirst(true, cut, seed);
        assertWithMessage("%s cut, seed %s", cut, seed).that(model.holderShare()).isEqualTo(1.0);
        assertWithMessage("%s cut, seed %s", cut, seed)
            .that(model.longestVacantMs())
            .isAtMost(400L);
        int terms = model.terms();
        model.run(10_000);
        assertWithMessage("%s cut, seed %s", cut, seed).that(model.terms()).isEqualTo(terms);
      }
    }
  }

  /** What happens without giving the term up: its holder reaches nothing as long as it is cut. */
  @Test
  void withoutYieldingTheCutHolderStays() {
    TermModel model = cutFirst(false, 1, 0);
    model.run(10_000);
    assertThat(model.holderShare()).isEqualTo(0.0);
  }

  private static TermModel cutFirst(boolean yields, int cut, int seed) {
    TermModel model = new TermModel(yields, GATEWAYS, 0, seed);
    model.run(CALM_MS);
    for (int i = 0; i < cut; i++) {
      model.setReach(i, 0, TARGETS);
    }
    model.run(TAKEOVER_MS);
    return model;
  }

  @Test
  void termStaysIfNobodyReachesTargets() {
    for (int seed = 0; seed < SEEDS; seed++) {
      TermModel model = cutFirst(true, GATEWAYS, seed);
      model.run(10_000);
      assertWithMessage("seed %s", seed).that(model.holder().isPresent()).isTrue();
      assertWithMessage("seed %s", seed).that(model.terms()).isAtMost(2);
    }
  }

  @Test
  void cutFollowersDoNotMoveTheTerm() {
    for (int seed = 0; seed < SEEDS; seed++) {
      TermModel model = new TermModel(true, GATEWAYS, 0, seed);
      model.run(CALM_MS);
      for (int i = 1; i < GATEWAYS; i++) {
        model.setReach(i, 0, TARGETS);
      }
      model.run(10_000);
      assertWithMessage("seed %s", seed).that(model.terms()).isEqualTo(1);
    }
  }

  @Test
  void gatewayThatReachesMostTakesTheTermIfNoneReachesAll() {
    for (int seed = 0; seed < SEEDS; seed++) {
      TermModel model = new TermModel(true, GATEWAYS, 0, seed);
      model.run(CALM_MS);
      model.setReach(0, 0, TARGETS);
      for (int i = 1; i < GATEWAYS; i++) {
        model.setReach(i, i == 5 ? 18 : 10, i == 5 ? 2 : 10);
      }
      model.run(4_000);
      assertWithMessage("seed %s", seed).that(model.holderShare()).isEqualTo(0.9);
    }
  }

  /** Links that come and go once a second must not move the term each time. */
  @Test
  void termDoesNotMoveWithEachChangeOfOnePath() {
    for (int seed = 0; seed < SEEDS; seed++) {
      TermModel model = new TermModel(true, GATEWAYS, 0, seed);
      for (int i = 0; i < 20; i++) {
        model.setReach(0, i % 2 == 0 ? 0 : TARGETS, i % 2 == 0 ? TARGETS : 0);
        model.run(500);
      }
      assertWithMessage("seed %s", seed).that(model.terms()).isAtMost(3);
    }
  }
}
