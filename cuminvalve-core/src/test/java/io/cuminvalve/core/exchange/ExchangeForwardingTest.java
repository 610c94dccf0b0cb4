package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that a gateway without a path to the targets forwards to its peers. */
class ExchangeForwardingTest {

  private static final long DEADLINE_MS = 1_000;
  private static final ExchangeEffect FORWARD = new ExchangeEffect.ForwardToPeer();

  private int budget = 10;

  @Test
  void answersOfPeersAreRelayed() {
    ExchangeStateMachine machine = forwarded(false, true, 2);
    assertThat(machine.onPeerAnswer(200, 1, true, 20))
        .containsExactly(new ExchangeEffect.Relay(false));
    assertThat(machine.runs()).isEqualTo(1);
    assertThat(machine.isDone()).isTrue();
  }

  @Test
  void withoutPeerTheRequestIsRefusedAtOnce() {
    ExchangeStateMachine machine = machine(false, true, 2);
    machine.onStart(false, 0);
    assertThat(machine.onUnreachable(false, 700, 1))
        .containsExactly(new ExchangeEffect.Refuse(700, "targets_unreachable"));
    assertThat(machine.onUnreachable(true, 700, 1)).isEmpty();
  }

  @Test
  void pathsLostAfterRunsProveNothing() {
    ExchangeStateMachine machine = machine(true, false, 2);
    machine.onStart(false, 0);
    machine.onSlot();
    machine.onFailure(true, "reset", 10);
    assertThat(machine.onUnreachable(false, 700, 11))
        .containsExactly(new ExchangeEffect.GiveUp(false, "targets_unreachable"));
  }

  @Test
  void refusedRequestsGoToThreePeersAtMost() {
    ExchangeStateMachine machine = forwarded(false, true, 2);
    assertThat(machine.onPeerRefusal(0, 500, true, 10)).containsExactly(FORWARD);
    assertThat(machine.onPeerRefusal(0, 500, true, 20)).containsExactly(FORWARD);
    assertThat(machine.onPeerRefusal(0, 500, true, 30))
        .containsExactly(new ExchangeEffect.Refuse(500, "refused_by_peer"));
  }

  @Test
  void refusalsEndWithTheLastPeerAndWithTheTime() {
    assertThat(forwarded(false, true, 2).onPeerRefusal(0, 300, false, 10))
        .containsExactly(new ExchangeEffect.Refuse(300, "refused_by_peer"));
    assertThat(forwarded(false, true, 2).onPeerRefusal(0, 300, true, DEADLINE_MS - 40))
        .containsExactly(new ExchangeEffect.Refuse(300, "refused_by_peer"));
  }

  /** Guards against arrivals at targets that no retry budget covers. */
  @Test
  void peersWhoseTargetsRefusedCostRetryBudget() {
    budget = 1;
    ExchangeStateMachine machine = forwarded(true, true, 2);
    assertThat(machine.onPeerRefusal(0, 300, true, 10)).containsExactly(FORWARD);
    assertThat(machine.onPeerRefusal(1, 300, true, 20)).containsExactly(FORWARD);
    ExchangeStateMachine next = forwarded(true, true, 2);
    assertThat(next.onPeerRefusal(1, 300, true, 20))
        .containsExactly(new ExchangeEffect.Refuse(300, "refused_by_peer"));
  }

  @Test
  void manyRefusalsOfTargetsEndTheRequest() {
    assertThat(forwarded(true, true, 2).onPeerRefusal(4, 300, true, 10))
        .containsExactly(new ExchangeEffect.Refuse(300, "refused_by_peer"));
  }

  @Test
  void whatMayHaveRunIsForwardedAgainOnlyIfIdempotent() {
    assertThat(forwarded(false, true, 2).onPeerFailure(1, "peer_failed", true, 10))
        .containsExactly(new ExchangeEffect.GiveUp(false, "peer_failed"));
    assertThat(forwarded(true, true, 2).onPeerFailure(1, "peer_failed", true, 10))
        .containsExactly(FORWARD);
    budget = 0;
    assertThat(forwarded(true, true, 2).onPeerFailure(1, "peer_failed", true, 10))
        .containsExactly(new ExchangeEffect.GiveUp(false, "peer_failed"));
  }

  @Test
  void runsAtPeersCountAgainstMaxAttempts() {
    ExchangeStateMachine machine = forwarded(true, true, 2);
    assertThat(machine.forwardedLimit()).isEqualTo(1);
    assertThat(machine.onPeerFailure(1, "peer_failed", true, 10)).containsExactly(FORWARD);
    assertThat(machine.forwardedLimit()).isEqualTo(2);
    assertThat(machine.onPeerFailure(2, "peer_failed", true, 20))
        .containsExactly(new ExchangeEffect.GiveUp(false, "peer_failed"));
    assertThat(machine.runs()).isEqualTo(2);
  }

  /** Guards against more runs than allowed if a peer is lost together with its count. */
  @Test
  void silentPeersCountAsHavingUsedAllTheirRuns() {
    ExchangeStateMachine machine = forwarded(true, true, 4);
    assertThat(machine.forwardedLimit()).isEqualTo(2);
    assertThat(machine.onPeerFailure(0, "reset", true, 10)).containsExactly(FORWARD);
    assertThat(machine.runs()).isEqualTo(2);
    assertThat(machine.forwardedLimit()).isEqualTo(3);
  }

  @Test
  void refusalsAfterRunsElsewhereAreNoRefusals() {
    ExchangeStateMachine machine = forwarded(true, true, 2);
    machine.onPeerFailure(1, "peer_failed", true, 10);
    assertThat(machine.onPeerRefusal(0, 300, false, 20))
        .containsExactly(new ExchangeEffect.GiveUp(false, "refused_by_peer"));
  }

  @Test
  void errorsOfUnkeyedServicesAreRetriedAtAnotherPeer() {
    assertThat(forwarded(true, false, 2).onPeerAnswer(500, 1, true, 10)).containsExactly(FORWARD);
    assertThat(forwarded(true, false, 2).onPeerAnswer(500, 2, true, 10))
        .containsExactly(new ExchangeEffect.Relay(true));
    assertThat(forwarded(false, false, 2).onPeerAnswer(500, 1, true, 10))
        .containsExactly(new ExchangeEffect.Relay(true));
    assertThat(forwarded(true, true, 2).onPeerAnswer(500, 1, true, 10))
        .containsExactly(new ExchangeEffect.Relay(true));
  }

  @Test
  void deadlineAndCallerAbandonTheForwardedRequest() {
    assertThat(forwarded(true, true, 2).onDeadline(true))
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.GiveUp(true, "timeout"),
            new ExchangeEffect.Abandon(true))
        .inOrder();
    assertThat(forwarded(true, true, 2).onDeadline(false))
        .contains(new ExchangeEffect.Refuse(250, "timeout_unsent"));
    assertThat(forwarded(true, true, 2).onCallerGone())
        .containsExactly(
            new ExchangeEffect.CancelSlotRequest(),
            new ExchangeEffect.Abandon(false),
            new ExchangeEffect.Drop())
        .inOrder();
  }

  @Test
  void lateWordsOfPeersHaveNoEffect() {
    ExchangeStateMachine machine = forwarded(true, true, 2);
    machine.onDeadline(true);
    assertThat(machine.onPeerAnswer(200, 1, true, 2_000)).isEmpty();
    assertThat(machine.onPeerRefusal(0, 300, true, 2_000)).isEmpty();
    assertThat(machine.onPeerFailure(1, "peer_failed", true, 2_000)).isEmpty();
  }

  /** At the peer: runs elsewhere count as attempts, and say nothing about a refusal here. */
  @Test
  void machinesOfPeersContinueTheCount() {
    ExchangeProfile profile = new ExchangeProfile(true, false, 2, 400, 0, DEADLINE_MS);
    ExchangeStateMachine refusing = new ExchangeStateMachine(profile, () -> true, 1);
    refusing.onStart(false, 0);
    assertThat(refusing.onNoSlot("targets_busy"))
        .containsExactly(new ExchangeEffect.Refuse(500, "targets_busy"));
    ExchangeStateMachine running = new ExchangeStateMachine(profile, () -> true, 1);
    running.onStart(false, 0);
    running.onSlot();
    assertThat(running.onFailure(true, "reset", 10))
        .containsExactly(new ExchangeEffect.GiveUp(false, "reset"));
  }

  private ExchangeStateMachine forwarded(boolean idempotent, boolean keyed, int maxAttempts) {
    ExchangeStateMachine machine = machine(idempotent, keyed, maxAttempts);
    machine.onStart(false, 0);
    List<ExchangeEffect> effects = machine.onUnreachable(true, 500, 1);
    assertThat(effects).containsExactly(FORWARD);
    return machine;
  }

  private ExchangeStateMachine machine(boolean idempotent, boolean keyed, int maxAttempts) {
    ExchangeProfile profile =
        new ExchangeProfile(idempotent, keyed, maxAttempts, 400, 0, DEADLINE_MS);
    return new ExchangeStateMachine(profile, () -> budget-- > 0);
  }
}
