package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.LimitUpdate;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.gateway.traffic.QuotaTraffic;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Simulates gateways with requests for one rate-limited target: a holder, deputies and followers.
 * Time is virtual and messages take a few milliseconds.
 */
final class QuotaFleet {

  static final int URGENT = 1;
  static final int DEFERRABLE = 2;

  private static final FleetTarget TARGET =
      new FleetTarget(
          TargetId.ofRun("one", 1),
          new ServiceId("core"),
          "10.0.0.1:80",
          new DataCentreId("dc"),
          4,
          TargetPhase.READY,
          0);

  private static final int DEPUTIES = 8;
  private static final long HELLO_MS = 300;
  private static final int MAX_LATENCY_MS = 20;
  private static final long ANSWER_MS = 60;
  private static final long VACANT_MS = 2_000;

  private final Random random;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Long> arrivalsMs = new ArrayList<>();
  private final int[] sentByPriority = new int[3];
  private String limit;
  private double coldPerS;
  private long warmAtMs;
  private int holder;
  private long holderSinceMs;
  private long nowMs = 1;
  private long nextHelloMs;
  private long order;

  QuotaFleet(int size, Random random) {
    this.random = random;
    for (int i = 0; i < size; i++) {
      members.add(new Member(i));
    }
    members.get(holder).coordinator.onGained(size);
    run(2 * HELLO_MS);
  }

  long nowMs() {
    return nowMs;
  }

  /** Sets the limit that the target announces in its responses; none if null. */
  void announceLimit(String perS) {
    limit = perS;
  }

  /** Makes the target cold; all gateways know it, also those that start later. */
  void becomeCold(double perS, long forMs) {
    coldPerS = perS;
    warmAtMs = nowMs + forMs;
    members.forEach(Member::learnOfCold);
  }

  void request(int gateway, int priority) {
    members.get(gateway).request(priority);
  }

  int sent(int priority) {
    return sentByPriority[priority];
  }

  int holder() {
    return holder;
  }

  /** Returns how many gateways know the limit. */
  int informed() {
    return (int) members.stream().filter(m -> !m.traffic.quotas().limits().isEmpty()).count();
  }

  /** Restarts the holder; the next one takes over after {@link #VACANT_MS}. */
  void loseHolder() {
    members.set(holder, new Member(holder));
    holder = (holder + 1) % members.size();
    holderSinceMs = nowMs + VACANT_MS;
    at(VACANT_MS, () -> members.get(holder).coordinator.onGained(members.size()));
  }

  /** Sets whether a gateway is cut off from all other gateways, but not from targets. */
  void cutOff(int gateway, boolean cut) {
    members.get(gateway).cut = cut;
  }

  /** Loses the holder, or restarts, cuts off or reconnects a gateway, as the generator draws. */
  void injectFault(Random faults) {
    int gateway = faults.nextInt(members.size());
    switch (faults.nextInt(4)) {
      case 0 -> loseHolder();
      case 1 -> restart(gateway);
      case 2 -> cutOff(gateway, gateway != holder);
      default -> cutOff(gateway, false);
    }
  }

  void restart(int gateway) {
    if (gateway != holder) {
      members.set(gateway, new Member(gateway));
    }
  }

  /** Returns the maximum number of requests that the target received in any 4 s since a time. */
  int maxRequestsIn4s(long sinceMs) {
    return maxRequestsIn(4_000, sinceMs);
  }

  /** Returns the maximum number of requests in any time of the given length since a time. */
  int maxRequestsIn(long windowMs, long sinceMs) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < arrivalsMs.size(); last++) {
      while (arrivalsMs.get(first) < sinceMs
          || arrivalsMs.get(last) - arrivalsMs.get(first) > windowMs) {
        first++;
        if (first > last) {
          break;
        }
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  void run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs++;
      while (!events.isEmpty() && events.peek().atMs <= nowMs) {
        events.poll().task.run();
      }
      if (nowMs >= nextHelloMs) {
        nextHelloMs = nowMs + HELLO_MS;
        members.forEach(Member::sendHello);
      }
    }
  }

  private boolean isVacant() {
    return nowMs < holderSinceMs;
  }

  private void at(long delayMs, Runnable task) {
    events.add(new Event(nowMs + delayMs, order++, task));
  }

  private void send(Member from, int to, FleetMessage message) {
    Member receiver = members.get(to);
    if (!from.cut && !receiver.cut) {
      at(1 + random.nextInt(MAX_LATENCY_MS), () -> receiver.take(from.index, message));
    }
  }

  private record Event(long atMs, long order, Runnable task) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return atMs == other.atMs ? Long.compare(order, other.order) : Long.compare(atMs, other.atMs);
    }
  }

  /** One gateway. */
  private final class Member implements QuotaCoordinator.Peers {

    private final int index;
    private final QuotaTraffic traffic;
    private final QuotaCoordinator coordinator;
    private final List<Integer> waiting = new ArrayList<>();
    private boolean cut;

    Member(int index) {
      this.index = index;
      this.traffic =
          new QuotaTraffic(
              () -> nowMs,
              (task, delayMs) -> {
                at(delayMs, task);
                return () -> {};
              },
              new SplittableRandom(random.nextLong()));
      this.coordinator =
          new QuotaCoordinator("gateway-" + index, traffic.quotas(), this, () -> nowMs);
      traffic.quotas().onLimit(coordinator::onSeen);
      traffic.quotas().onQuotaRequest(coordinator::ask);
      traffic.quotas().onCold(coordinator::onCold);
      traffic.onUsable(service -> sendWaiting());
      learnOfCold();
    }

    private void learnOfCold() {
      if (nowMs < warmAtMs) {
        traffic.quotas().onCold(TARGET.id(), TARGET.service(), coldPerS, warmAtMs - nowMs);
      }
    }

    void request(int priority) {
      waiting.add(priority);
      sendWaiting();
    }

    private void sendWaiting() {
      List<Integer> left = new ArrayList<>(waiting);
      waiting.clear();
      left.sort(Integer::compare);
      for (int priority : left) {
        if (traffic.take(TARGET, priority)) {
          sendToTarget(priority);
        } else if (!traffic.refuses(TARGET, priority)) {
          waiting.add(priority);
        }
      }
    }

    private void sendToTarget(int priority) {
      long sentMs = nowMs;
      arrivalsMs.add(nowMs);
      sentByPriority[priority]++;
      at(ANSWER_MS, () -> traffic.onAnswer(TARGET, limit, sentMs));
    }

    void take(int sender, FleetMessage message) {
      if (message instanceof QuotaRequest request) {
        coordinator.onRequest("gateway-" + sender, request, reply -> send(this, sender, reply));
      } else if (message instanceof QuotaReply reply) {
        traffic.quotas().onReply(reply);
      } else if (message instanceof LimitUpdate update) {
        coordinator.onUpdate(update, answer -> send(this, sender, answer));
      }
    }

    /** Sends a hello to the holder, or to two gateways while there is no holder. */
    private void sendHello() {
      if (cut) {
        return;
      }
      List<Integer> receivers = new ArrayList<>();
      if (!isVacant()) {
        follow();
        receivers.add(holder);
      } else {
        receivers.add((holder + 1) % members.size());
        receivers.add((holder + 2) % members.size());
      }
      for (int other : receivers) {
        Member receiver = members.get(other);
        if (receiver != this && !receiver.cut) {
          receiver.coordinator.onHello(
              "gateway-" + index, coordinator.digest(), answer -> send(receiver, index, answer));
        }
      }
    }

    private void follow() {
      if (members.get(holder).cut) {
        return;
      }
      List<String> deputies = new ArrayList<>();
      for (int i = 1; i <= Math.min(DEPUTIES, members.size() - 1); i++) {
        int deputy = (holder + i) % members.size();
        if (deputy != index) {
          deputies.add(Integer.toString(deputy));
        }
      }
      Optional<String> holderAddress =
          index == holder ? Optional.empty() : Optional.of(Integer.toString(holder));
      coordinator.onHolderAndDeputies(holderAddress, deputies);
      traffic.quotas().setGateways(members.size());
    }

    @Override
    public void sendToFollowers(FleetMessage message) {
      members.stream()
          .filter(member -> member != this)
          .forEach(member -> send(this, member.index, message));
    }

    @Override
    public void tell(String address, FleetMessage message) {
      send(this, Integer.parseInt(address), message);
    }

    @Override
    public int followers() {
      return (int) members.stream().filter(member -> member != this && !member.cut).count();
    }
  }
}
