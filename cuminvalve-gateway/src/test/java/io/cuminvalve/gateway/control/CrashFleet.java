package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.TrialPermit;
import io.cuminvalve.core.protocol.TrialRequest;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.BrokenAttempt;
import io.cuminvalve.gateway.traffic.RequestQuarantine;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/** Gateways that tell one another of crashes, on virtual time: a holder, deputies, and the rest. */
final class CrashFleet {

  private static final int DEPUTIES = 8;
  private static final long HELLO_MS = 300;
  private static final int LONGEST_WAY_MS = 20;

  /** Until a lost holder is replaced and everybody follows the next one. */
  private static final long VACANT_MS = 2_000;

  private final Random random;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Delivery> underWay = new PriorityQueue<>();
  private List<Integer> deputies = List.of();
  private Optional<CrashUpdate> stored = Optional.empty();
  private int holder;
  private long holderSinceMs;
  private long nowMs = 1;
  private long nextHelloMs;
  private long sent;
  private int permits;

  CrashFleet(int size, Random random) {
    this.random = random;
    for (int i = 0; i < size; i++) {
      members.add(new Member(i));
    }
    chooseDeputies();
    run(HELLO_MS);
  }

  long nowMs() {
    return nowMs;
  }

  void crash(int gateway, List<BrokenAttempt> attempts) {
    nowMs++;
    members.get(gateway).desk.onCrashed(attempts);
  }

  /** A target answers a request of a gateway. */
  void answer(int gateway, RequestIdentity identity) {
    nowMs++;
    members.get(gateway).quarantine.onAnswer(identity);
  }

  int anyLiving() {
    List<Integer> living = members.stream().filter(m -> m.alive).map(m -> m.index).toList();
    return living.get(random.nextInt(living.size()));
  }

  int living() {
    return (int) members.stream().filter(member -> member.alive).count();
  }

  /** Returns how many living gateways send a request to no target. */
  int refusing(RequestIdentity identity) {
    return (int)
        members.stream().filter(m -> m.alive && m.quarantine.refusedForMs(identity) > 0).count();
  }

  void loseHolder() {
    if (living() < 3) {
      return;
    }
    members.get(holder).alive = false;
    holder = anyLiving();
    holderSinceMs = nowMs + VACANT_MS;
  }

  void loseDeputy() {
    List<Integer> left = deputies.stream().filter(i -> members.get(i).alive).toList();
    if (living() > 3 && !left.isEmpty()) {
      int lost = left.get(random.nextInt(left.size()));
      if (lost != holder) {
        members.get(lost).alive = false;
      }
    }
  }

  /** A gateway starts again and knows nothing. */
  void restart(int gateway) {
    members.set(gateway, new Member(gateway));
  }

  /** All gateways end at one moment and start again; the first to hold the term reads the store. */
  void loseAll() {
    underWay.clear();
    members.replaceAll(member -> new Member(member.index));
    holder = random.nextInt(members.size());
    holderSinceMs = nowMs;
    stored.ifPresent(members.get(holder).desk::onStored);
  }

  void run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs++;
      while (!underWay.isEmpty() && underWay.peek().atMs <= nowMs) {
        deliver(underWay.poll());
      }
      if (nowMs >= nextHelloMs) {
        nextHelloMs = nowMs + HELLO_MS;
        sayHello();
      }
    }
  }

  private boolean isVacant() {
    return nowMs < holderSinceMs;
  }

  /** The holder answers; while there is none two deputies do. */
  private void sayHello() {
    if (!isVacant()) {
      chooseDeputies();
    }
    for (Member member : members) {
      if (!member.alive) {
        continue;
      }
      member.follow();
      if (!isVacant() && member.index != holder) {
        ask(member, holder);
      } else if (isVacant()) {
        deputies.stream().limit(2).forEach(deputy -> ask(member, deputy));
      }
    }
  }

  private void ask(Member asking, int asked) {
    Member other = members.get(asked);
    if (other.alive && other != asking) {
      long digest = asking.desk.digest();
      other.desk.onDigest(digest, message -> send(other, asking.index, message));
    }
  }

  private void chooseDeputies() {
    List<Integer> chosen = new ArrayList<>();
    for (Member member : members) {
      if (member.alive && member.index != holder && chosen.size() < DEPUTIES) {
        chosen.add(member.index);
      }
    }
    deputies = chosen;
  }

  private void send(Member from, int to, FleetMessage message) {
    if (from.alive) {
      long atMs = nowMs + 1 + random.nextInt(LONGEST_WAY_MS);
      underWay.add(new Delivery(atMs, sent++, from.index, to, message));
    }
  }

  private void deliver(Delivery delivery) {
    Member to = members.get(delivery.to);
    Member from = members.get(delivery.from);
    if (!to.alive) {
      return;
    }
    if (delivery.message instanceof CrashUpdate news) {
      to.desk.onNews(news, answer -> send(to, from.index, answer));
    } else if (delivery.message instanceof TrialRequest request) {
      to.desk.onTrialRequest(request.fingerprint(), answer -> send(to, from.index, answer));
    } else if (delivery.message instanceof TrialPermit) {
      permits++;
    }
  }

  /** Every gateway but the holder has a copy of a request that is watched. */
  void wantTrials(RequestFingerprint fingerprint) {
    members.stream()
        .filter(member -> member.alive && member.index != holder)
        .forEach(member -> member.desk.onTrialWanted(fingerprint));
  }

  /** Returns how often a gateway was permitted a trial. */
  int permits() {
    return permits;
  }

  private record Delivery(long atMs, long order, int from, int to, FleetMessage message)
      implements Comparable<Delivery> {

    @Override
    public int compareTo(Delivery other) {
      return atMs == other.atMs ? Long.compare(order, other.order) : Long.compare(atMs, other.atMs);
    }
  }

  /** One gateway. */
  private final class Member implements CrashDesk.Audience {

    private final int index;
    private final MillisClock clock = () -> nowMs;
    private final RequestQuarantine quarantine = new RequestQuarantine(clock);
    private final CrashDesk desk;
    private boolean alive = true;

    Member(int index) {
      this.index = index;
      DecisionLog log = new DecisionLog(clock, 1, line -> {});
      this.desk = new CrashDesk(new CrashTracker(0), quarantine, this, clock, log);
      quarantine.onAnswered(this::onAnswered);
    }

    private void onAnswered(RequestFingerprint fingerprint) {
      desk.onAnswered(fingerprint);
    }

    /** Hears from the holder who it is and who its deputies are. */
    private void follow() {
      if (isVacant()) {
        return;
      }
      List<String> named =
          deputies.stream().filter(i -> i != index).map(i -> Integer.toString(i)).toList();
      Optional<String> followed =
          index == holder ? Optional.empty() : Optional.of(Integer.toString(holder));
      desk.onConfidants(followed, named);
    }

    @Override
    public boolean isHolder() {
      return index == holder && !isVacant();
    }

    @Override
    public void tellAll(FleetMessage message) {
      members.stream()
          .filter(member -> member.index != index)
          .forEach(member -> send(this, member.index, message));
    }

    @Override
    public void keep(CrashUpdate quarantined) {
      stored = Optional.of(quarantined);
    }

    @Override
    public void tell(String address, FleetMessage message) {
      send(this, Integer.parseInt(address), message);
    }
  }
}
