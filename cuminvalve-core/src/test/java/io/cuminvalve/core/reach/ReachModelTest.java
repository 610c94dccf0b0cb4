package io.cuminvalve.core.reach;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Bounds on what callers of gateways get that lose and regain their path to the targets. */
class ReachModelTest {

  private static final int GATEWAYS = 8;
  private static final int TARGETS = 14;
  private static final int SEEDS = 5;
  private static final long CALM_MS = 5_000;
  private static final long CONTACT_MS = 3_000;
  private static final long CUT_MS = 9_000;
  private static final double FAIR_SHARE = 2.0 / 3;

  /** Mean time between two requests at a gateway of a busy and of a quiet site. */
  private static final long[] INTERVALS_MS = {15, 60, 300};

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OPEN")
  void callersOfCutGatewaysAreServedAsLongAsOneGatewayHasPath(LinkState cut) {
    for (int cutGateways : new int[] {1, 2, 5, GATEWAYS - 1}) {
      for (long intervalMs : INTERVALS_MS) {
        for (int seed = 0; seed < SEEDS; seed++) {
          double share = shareOfCut(ReachModel.Way.INFERENCE, cut, cutGateways, intervalMs, seed);
          assertWithMessage("%s cut %s, %s ms, seed %s", cutGateways, cut, intervalMs, seed)
              .that(share)
              .isAtLeast(FAIR_SHARE);
        }
      }
    }
  }

  /** Without the inference, each request finds out at its own target, or not at all. */
  @Test
  void inferenceServesMoreThanTheOtherWays() {
    for (LinkState cut : List.of(LinkState.SILENT, LinkState.ONE_WAY)) {
      double none = shareOfCut(ReachModel.Way.NONE, cut, 3, 60, 1);
      double perTarget = shareOfCut(ReachModel.Way.PER_TARGET, cut, 3, 60, 1);
      double inference = shareOfCut(ReachModel.Way.INFERENCE, cut, 3, 60, 1);
      assertThat(none).isLessThan(0.1);
      assertThat(inference).isGreaterThan(perTarget);
      assertThat(inference).isGreaterThan(0.95);
    }
  }

  private static double shareOfCut(
      ReachModel.Way way, LinkState cut, int cutGateways, long intervalMs, int seed) {
    ReachModel model = new ReachModel(way, GATEWAYS, TARGETS, seed, intervalMs);
    model.run(CALM_MS);
    for (int i = 0; i < cutGateways; i++) {
      model.setLink(i, cut);
    }
    model.run(CONTACT_MS);
    List<ReachModel.Tries> tries = model.run(CUT_MS);
    double cutShare = meanShare(tries.subList(0, cutGateways));
    return cutShare / meanShare(tries.subList(cutGateways, GATEWAYS));
  }

  private static double meanShare(List<ReachModel.Tries> tries) {
    return tries.stream().mapToDouble(ReachModel.Tries::servedShare).average().orElse(1);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OPEN")
  void busyGatewayKnowsSoonAndReturnsSoon(LinkState cut) {
    for (int seed = 0; seed < SEEDS; seed++) {
      ReachModel model = new ReachModel(ReachModel.Way.INFERENCE, GATEWAYS, TARGETS, seed, 15);
      model.run(CALM_MS);
      model.setLink(0, cut);
      model.run(1_200);
      assertWithMessage("%s seed %s lost", cut, seed).that(model.isLost(0)).isTrue();
      model.run(3_000);
      model.setLink(0, LinkState.OPEN);
      model.run(1_200);
      assertWithMessage("%s seed %s back", cut, seed).that(model.isLost(0)).isFalse();
      List<ReachModel.Tries> tries = model.run(1_000);
      assertThat(tries.get(0).relayed()).isEqualTo(0);
    }
  }

  /** Ended targets, several at once too, are not a lost path as long as others are reached. */
  @Test
  void endedTargetsAreNoLostPath() {
    for (long intervalMs : INTERVALS_MS) {
      for (int seed = 0; seed < SEEDS; seed++) {
        ReachModel model =
            new ReachModel(ReachModel.Way.INFERENCE, GATEWAYS, TARGETS, seed, intervalMs);
        model.run(CALM_MS);
        for (int i = 0; i < 5; i++) {
          model.endTarget(i);
        }
        for (int step = 0; step < 40; step++) {
          model.run(50);
          for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            assertWithMessage("%s ms, seed %s, step %s", intervalMs, seed, step)
                .that(model.isLost(gateway))
                .isFalse();
          }
        }
        model.unregisterEnded();
      }
    }
  }

  @Test
  void lostConnectionRequestsAreNoLostPath() {
    for (int seed = 0; seed < SEEDS; seed++) {
      ReachModel model = new ReachModel(ReachModel.Way.INFERENCE, GATEWAYS, TARGETS, seed, 15);
      model.loseConnectionRequests(0.1);
      for (int step = 0; step < 400; step++) {
        model.run(50);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          assertWithMessage("seed %s, step %s", seed, step).that(model.isLost(gateway)).isFalse();
        }
      }
    }
  }

  /** A path that comes and goes four times a second must not make requests wait again and again. */
  @Test
  void callersAreServedWhileThePathComesAndGoes() {
    for (int seed = 0; seed < SEEDS; seed++) {
      ReachModel model = new ReachModel(ReachModel.Way.INFERENCE, GATEWAYS, TARGETS, seed, 15);
      model.run(CALM_MS);
      int sent = 0;
      double served = 0;
      for (int i = 0; i < 40; i++) {
        model.setLink(0, i % 2 == 0 ? LinkState.SILENT : LinkState.OPEN);
        ReachModel.Tries tries = model.run(500).get(0);
        if (i >= 6) {
          sent += tries.sent();
          served += tries.servedShare() * tries.sent();
        }
      }
      assertWithMessage("seed %s", seed).that(served / sent).isAtLeast(FAIR_SHARE);
    }
  }
}
