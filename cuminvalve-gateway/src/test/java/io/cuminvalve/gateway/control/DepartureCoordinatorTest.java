package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.DepartureUpdate;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Fleets in which one gateway learns that a target is leaving while other gateways fail. */
class DepartureCoordinatorTest {

  private static final TargetId TARGET = new TargetId("core-0");
  private static final int DEPUTIES = 2;

  private final List<Member> members = new ArrayList<>();
  private final Queue<Runnable> inFlight = new ArrayDeque<>();
  private int holder;
  private long nowMs;
  private int sent;

  private void start(int gateways) {
    for (int i = 0; i < gateways; i++) {
      members.add(new Member(i));
    }
    sendHellos();
  }

  @Test
  void departureReachesAllGateways() {
    start(10);
    members.get(7).coordinator.onSeen(TARGET);
    deliver();
    assertThat(informed()).isEqualTo(10);
  }

  @Test
  void departureSeenByHolderReachesAllGateways() {
    start(10);
    members.get(0).coordinator.onSeen(TARGET);
    deliver();
    assertThat(informed()).isEqualTo(10);
  }

  @Test
  void equalStateSendsNoMessages() {
    start(10);
    members.get(7).coordinator.onSeen(TARGET);
    deliver();
    sendHellos();
    final int before = sent;
    sendHellos();
    assertThat(sent).isEqualTo(before);
  }

  /** Any gateways may fail during the update; one hello to the next holder restores it. */
  @Test
  void departureSurvivesLossOfHoldersAndDeputies() {
    for (int seed = 0; seed < 200; seed++) {
      final SplittableRandom random = new SplittableRandom(seed);
      members.clear();
      inFlight.clear();
      holder = 0;
      start(4 + random.nextInt(20));
      int first = DEPUTIES + 1 + random.nextInt(members.size() - DEPUTIES - 1);
      members.get(first).coordinator.onSeen(TARGET);
      if (random.nextBoolean()) {
        inFlight.clear();
      } else {
        deliver();
      }
      for (int lost = 0; lost <= DEPUTIES; lost++) {
        members.set(lost, new Member(lost));
      }
      holder = 1 + random.nextInt(members.size() - 1);
      sendHellos();
      sendHellos();
      assertThat(informed()).isEqualTo(members.size());
    }
  }

  @Test
  void departuresOfRemovedTargetsExpireEverywhere() {
    start(5);
    members.get(3).coordinator.onSeen(TARGET);
    deliver();
    nowMs = 100_000;
    members.forEach(member -> member.coordinator.forget(id -> false));
    sendHellos();
    assertThat(informed()).isEqualTo(0);
  }

  private long informed() {
    return members.stream().filter(member -> member.leaving.contains(TARGET)).count();
  }

  private void sendHellos() {
    for (Member member : members) {
      List<String> deputies = new ArrayList<>();
      for (int i = 1; i <= DEPUTIES; i++) {
        int deputy = (holder + i) % members.size();
        if (deputy != member.index) {
          deputies.add(Integer.toString(deputy));
        }
      }
      boolean holds = member.index == holder;
      member.coordinator.onHolderAndDeputies(
          holds ? Optional.empty() : Optional.of(Integer.toString(holder)), deputies);
      if (!holds) {
        Member holderMember = members.get(holder);
        holderMember.coordinator.onDigest(
            member.coordinator.digest(), update -> holderMember.tell(member.index, update));
      }
    }
    deliver();
  }

  private void deliver() {
    while (!inFlight.isEmpty()) {
      inFlight.poll().run();
    }
  }

  /** One gateway. */
  private final class Member implements FleetMessenger {

    private final int index;
    private Set<TargetId> leaving = new HashSet<>();
    private final DepartureCoordinator coordinator =
        new DepartureCoordinator(
            this,
            () -> nowMs,
            new DecisionLog(() -> nowMs, 1, line -> {}),
            targets -> leaving = targets);

    Member(int index) {
      this.index = index;
    }

    @Override
    public void sendToFollowers(FleetMessage message) {
      if (index == holder) {
        members.forEach(member -> tell(member.index, message));
      }
    }

    @Override
    public void tell(String address, FleetMessage message) {
      tell(Integer.parseInt(address), message);
    }

    private void tell(int to, FleetMessage message) {
      sent++;
      inFlight.add(
          () ->
              members
                  .get(to)
                  .coordinator
                  .onUpdate(
                      (DepartureUpdate) message, answer -> members.get(to).tell(index, answer)));
    }
  }
}
