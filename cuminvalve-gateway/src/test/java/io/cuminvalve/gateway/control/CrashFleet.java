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

/** Simulates gateways that exchange crashes: a holder, deputies and followers; virtual time. */
final class CrashFleet {

  private static final int DEPUTIES = 8;
  private static final long HELLO_MS = 300;
  private static final int MAX_LATENCY_MS = 20;

  /** Time until a lost holder is replaced and all gateways follow the next one. */
  private static final long VACANT_MS = 2_000;

  private final Random random;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Delivery> inFlight = new PriorityQueue<>();
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
    members.get(gateway).coordinator.onCrashed(attempts);
  }

  /** Simulates the response of a target to a request of a gateway. */
  void answer(int gateway, RequestIdentity identity) {
    nowMs++;
    members.get(gateway).quarantine.onAnswer(identity);
  }

  int randomLive() {
    List<Integer> live = members.stream().filter(m -> m.alive).map(m -> m.index).toList();
    return live.get(random.nextInt(live.size()));
  }

  int live() {
    return (int) members.stream().filter(member -> member.alive).count();
  }

  /** Returns how many live gateways refuse a request. */
  int refusing(RequestIdentity identity) {
    return (int)
        members.stream().filter(m -> m.alive && m.quarantine.refusedForMs(identity) > 0).count();
  }

  void loseHolder() {
    if (live() < 3) {
      return;
    }
    members.get(holder).alive = false;
    holder = randomLive();
    holderSinceMs = nowMs + VACANT_MS;
  }

  void loseDeputy() {
    List<Integer> left = deputies.stream().filter(i -> members.get(i).alive).toList();
    if (live() > 3 && !left.isEmpty()) {
      int lost = left.get(random.nextInt(left.size()));
      if (lost != holder) {
        members.get(lost).alive = false;
      }
    }
  }

  /** Restarts a gateway without state. */
  void restart(int gateway) {
    members.set(gateway, new Member(gateway));
  }

  /** Restarts all gateways at once; the next holder of the term reads the store. */
  void loseAll() {
    inFlight.clear();
    members.replaceAll(member -> new Member(member.index));
    holder = random.nextInt(members.size());
    holderSinceMs = nowMs;
    stored.ifPresent(members.get(holder).coordinator::onStored);
  }

  void run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs++;
      while (!inFlight.isEmpty() && inFlight.peek().atMs <= nowMs) {
        deliver(inFlight.poll());
      }
      if (nowMs >= nextHelloMs) {
        nextHelloMs = nowMs + HELLO_MS;
        sendHellos();
      }
    }
  }

  private boolean isVacant() {
    return nowMs < holderSinceMs;
  }

  /** Sends hellos to the holder, or to two deputies while there is no holder. */
  private void sendHellos() {
    if (!isVacant()) {
      chooseDeputies();
    }
    for (Member member : members) {
      if (!member.alive) {
        continue;
      }
      member.follow();
      if (!isVacant() && member.index != holder) {
        sendHello(member, holder);
      } else if (isVacant()) {
        deputies.stream().limit(2).forEach(deputy -> sendHello(member, deputy));
      }
    }
  }

  private void sendHello(Member sender, int receiverIndex) {
    Member other = members.get(receiverIndex);
    if (other.alive && other != sender) {
      long digest = sender.coordinator.digest();
      other.coordinator.onDigest(digest, message -> send(other, sender.index, message));
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
      long atMs = nowMs + 1 + random.nextInt(MAX_LATENCY_MS);
      inFlight.add(new Delivery(atMs, sent++, from.index, to, message));
    }
  }

  private void deliver(Delivery delivery) {
    Member to = members.get(delivery.to);
    Member from = members.get(delivery.from);
    if (!to.alive) {
      return;
    }
    if (delivery.message instanceof CrashUpdate update) {
      to.coordinator.onUpdate(update, answer -> send(to, from.index, answer));
    } else if (delivery.message instanceof TrialRequest request) {
      to.coordinator.onTrialRequest(request.fingerprint(), answer -> send(to, from.index, answer));
    } else if (delivery.message instanceof TrialPermit) {
      permits++;
    }
  }

  /** Makes every gateway except the holder request a trial of a watched request. */
  void requestTrials(RequestFingerprint fingerprint) {
    members.stream()
        .filter(member -> member.alive && member.index != holder)
        .forEach(member -> member.coordinator.onTrialWanted(fingerprint));
  }

  /** Returns the number of granted trial permits. */
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
  private final class Member implements CrashCoordinator.Peers {

    private final int index;
    private final MillisClock clock = () -> nowMs;
    private final RequestQuarantine quarantine = new RequestQuarantine(clock);
    private final CrashCoordinator coordinator;
    private boolean alive = true;

    Member(int index) {
      this.index = index;
      DecisionLog log = new DecisionLog(clock, 1, line -> {});
      this.coordinator = new CrashCoordinator(new CrashTracker(0), quarantine, this, clock, log);
      quarantine.onAnswered(this::onAnswered);
    }

    private void onAnswered(RequestFingerprint fingerprint) {
      coordinator.onAnswered(fingerprint);
    }

    /** Sets the current holder and deputies. */
    private void follow() {
      if (isVacant()) {
        return;
      }
      List<String> deputyAddresses =
          deputies.stream().filter(i -> i != index).map(i -> Integer.toString(i)).toList();
      Optional<String> holderAddress =
          index == holder ? Optional.empty() : Optional.of(Integer.toString(holder));
      coordinator.onHolderAndDeputies(holderAddress, deputyAddresses);
    }

    @Override
    public boolean isHolder() {
      return index == holder && !isVacant();
    }

    @Override
    public void sendToFollowers(FleetMessage message) {
      members.stream()
          .filter(member -> member.index != index)
          .forEach(member -> send(this, member.index, message));
    }

    @Override
    public void persist(CrashUpdate quarantined) {
      stored = Optional.of(quarantined);
    }

    @Override
    public void tell(String address, FleetMessage message) {
      send(this, Integer.parseInt(address), message);
    }
  }
}
