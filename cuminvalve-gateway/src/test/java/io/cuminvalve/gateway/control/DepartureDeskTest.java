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

/** Fleets in which one gateway hears that a target leaves, and others are lost meanwhile. */
class DepartureDeskTest {

  private static final TargetId TARGET = new TargetId("core-0");
  private static final int DEPUTIES = 2;

  private final List<Member> members = new ArrayList<>();
  private final Queue<Runnable> underWay = new ArrayDeque<>();
  private int holder;
  private long nowMs;
  private int sent;

  private void start(int gateways) {
    for (int i = 0; i < gateways; i++) {
      members.add(new Member(i));
    }
    sayHello();
  }

  @Test
  void everyGatewayLearnsOfItFromTheFirst() {
    start(10);
    members.get(7).desk.onSeen(TARGET);
    deliver();
    assertThat(knowing()).isEqualTo(10);
  }

  @Test
  void theHolderTellsWhatItHearsItself() {
    start(10);
    members.get(0).desk.onSeen(TARGET);
    deliver();
    assertThat(knowing()).isEqualTo(10);
  }

  @Test
  void whoKnowsTheSameIsToldNothing() {
    start(10);
    members.get(7).desk.onSeen(TARGET);
    deliver();
    sayHello();
    final int before = sent;
    sayHello();
    assertThat(sent).isEqualTo(before);
  }

  /** Whoever is lost at the moment of the news, one hello to the next holder is enough. */
  @Test
  void itSurvivesTheLossOfHoldersAndDeputies() {
    for (int seed = 0; seed < 200; seed++) {
      final SplittableRandom random = new SplittableRandom(seed);
      members.clear();
      underWay.clear();
      holder = 0;
      start(4 + random.nextInt(20));
      int first = DEPUTIES + 1 + random.nextInt(members.size() - DEPUTIES - 1);
      members.get(first).desk.onSeen(TARGET);
      if (random.nextBoolean()) {
        underWay.clear();
      } else {
        deliver();
      }
      for (int lost = 0; lost <= DEPUTIES; lost++) {
        members.set(lost, new Member(lost));
      }
      holder = 1 + random.nextInt(members.size() - 1);
      sayHello();
      sayHello();
      assertThat(knowing()).isEqualTo(members.size());
    }
  }

  @Test
  void runsThatAreLongGoneAreForgottenByAll() {
    start(5);
    members.get(3).desk.onSeen(TARGET);
    deliver();
    nowMs = 100_000;
    members.forEach(member -> member.desk.forget(id -> false));
    sayHello();
    assertThat(knowing()).isEqualTo(0);
  }

  private long knowing() {
    return members.stream().filter(member -> member.leaving.contains(TARGET)).count();
  }

  private void sayHello() {
    for (Member member : members) {
      List<String> deputies = new ArrayList<>();
      for (int i = 1; i <= DEPUTIES; i++) {
        int deputy = (holder + i) % members.size();
        if (deputy != member.index) {
          deputies.add(Integer.toString(deputy));
        }
      }
      boolean holds = member.index == holder;
      member.desk.onConfidants(
          holds ? Optional.empty() : Optional.of(Integer.toString(holder)), deputies);
      if (!holds) {
        Member holding = members.get(holder);
        holding.desk.onDigest(member.desk.digest(), news -> holding.tell(member.index, news));
      }
    }
    deliver();
  }

  private void deliver() {
    while (!underWay.isEmpty()) {
      underWay.poll().run();
    }
  }

  /** One gateway. */
  private final class Member implements FleetAudience {

    private final int index;
    private Set<TargetId> leaving = new HashSet<>();
    private final DepartureDesk desk =
        new DepartureDesk(
            this,
            () -> nowMs,
            new DecisionLog(() -> nowMs, 1, line -> {}),
            targets -> leaving = targets);

    Member(int index) {
      this.index = index;
    }

    @Override
    public void tellAll(FleetMessage message) {
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
      underWay.add(
          () ->
              members
                  .get(to)
                  .desk
                  .onNews(
                      (DepartureUpdate) message, answer -> members.get(to).tell(index, answer)));
    }
  }
}
