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
 * Gateways with requests for one target that names a limit, on virtual time: a holder, deputies,
 * and the rest; messages take a few milliseconds.
 */
final class QuotaFleet {

  static final int URGENT = 1;
  static final int LATER = 2;

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
  private static final int LONGEST_WAY_MS = 20;
  private static final long ANSWER_MS = 60;
  private static final long VACANT_MS = 2_000;

  private final Random random;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Long> arrivalsMs = new ArrayList<>();
  private final int[] sentByPriority = new int[3];
  private String limit;
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
    members.get(holder).desk.onGained(size);
    run(2 * HELLO_MS);
  }

  long nowMs() {
    return nowMs;
  }

  /** The target names a limit in its answers from now on; none if null. */
  void nameLimit(String perS) {
    limit = perS;
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

  /** The holder ends; the next one takes over after a while. */
  void loseHolder() {
    members.set(holder, new Member(holder));
    holder = (holder + 1) % members.size();
    holderSinceMs = nowMs + VACANT_MS;
    at(VACANT_MS, () -> members.get(holder).desk.onGained(members.size()));
  }

  /** A gateway loses its way to all others, not to targets. */
  void cutOff(int gateway, boolean cut) {
    members.get(gateway).cut = cut;
  }

  void restart(int gateway) {
    if (gateway != holder) {
      members.set(gateway, new Member(gateway));
    }
  }

  /** Returns the most requests that the target got in any 4 s since a time. */
  int mostIn4s(long sinceMs) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < arrivalsMs.size(); last++) {
      while (arrivalsMs.get(first) < sinceMs
          || arrivalsMs.get(last) - arrivalsMs.get(first) > 4_000) {
        first++;
        if (first > last) {
          break;
        }
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
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
        members.forEach(Member::sayHello);
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
      at(1 + random.nextInt(LONGEST_WAY_MS), () -> receiver.take(from.index, message));
    }
  }

  private record Event(long atMs, long order, Runnable task) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return atMs == other.atMs ? Long.compare(order, other.order) : Long.compare(atMs, other.atMs);
    }
  }

  /** One gateway. */
  private final class Member implements QuotaDesk.Audience {

    private final int index;
    private final QuotaTraffic traffic;
    private final QuotaDesk desk;
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
      this.desk = new QuotaDesk("gateway-" + index, traffic.quotas(), this, () -> nowMs);
      traffic.quotas().onLimit(desk::onSeen);
      traffic.quotas().onAsk(desk::ask);
      traffic.onUsable(service -> lookAgain());
    }

    void request(int priority) {
      waiting.add(priority);
      lookAgain();
    }

    private void lookAgain() {
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
        desk.onRequest("gateway-" + sender, request, reply -> send(this, sender, reply));
      } else if (message instanceof QuotaReply reply) {
        traffic.quotas().onReply(reply);
      } else if (message instanceof LimitUpdate news) {
        desk.onNews(news, answer -> send(this, sender, answer));
      }
    }

    /** The holder answers with who it is; while there is none two deputies hear what is known. */
    private void sayHello() {
      if (cut) {
        return;
      }
      List<Integer> asked = new ArrayList<>();
      if (!isVacant()) {
        follow();
        asked.add(holder);
      } else {
        asked.add((holder + 1) % members.size());
        asked.add((holder + 2) % members.size());
      }
      for (int other : asked) {
        Member receiver = members.get(other);
        if (receiver != this && !receiver.cut) {
          receiver.desk.onHello(
              "gateway-" + index, desk.digest(), answer -> send(receiver, index, answer));
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
      Optional<String> followed =
          index == holder ? Optional.empty() : Optional.of(Integer.toString(holder));
      desk.onConfidants(followed, deputies);
      traffic.quotas().setGateways(members.size());
    }

    @Override
    public void tellAll(FleetMessage message) {
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
