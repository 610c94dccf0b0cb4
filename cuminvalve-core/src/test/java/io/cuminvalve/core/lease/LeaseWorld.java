package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Holders of the term, a store and targets over virtual time.
 *
 * <p>Orders are delayed, lost, refused, or carried out seconds later without an answer. A holder
 * that is replaced goes on until it notices or its grace is over. At every step, no key may be held
 * by two targets.
 */
final class LeaseWorld {

  static final ServiceId SERVICE = new ServiceId("core");
  static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);

  private static final int TARGETS = 5;
  private static final long STEP_MS = 25;
  private static final double SLOWEST_CLOCK = 1.02;

  private final SplittableRandom random;
  private final Map<TargetId, LeaseTarget> targets = new LinkedHashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<WorldHolder> holders = new ArrayList<>();
  private OwnershipRecord stored = new OwnershipRecord(0, List.of());
  private long storedRevision;
  private long nowMs;
  private long eventCount;
  private int nextTarget;
  private int heldSamples;
  private int heldAtMost;

  LeaseWorld(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < TARGETS; i++) {
      addTarget();
    }
  }

  private void addTarget() {
    TargetId id = new TargetId("target-" + nextTarget++);
    targets.put(id, new LeaseTarget(id, 1 + random.nextDouble() * (SLOWEST_CLOCK - 1)));
  }

  /** Runs for a while; things go wrong all the time. */
  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    holders.add(new WorldHolder(1, nowMs));
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
        events.poll().action().run();
      }
      disturb();
      holders.forEach(WorldHolder::step);
      checkOwners();
    }
  }

  /** Returns how many sample keys were held at most at one time. */
  int heldAtMost() {
    return heldAtMost;
  }

  /** Returns how many sample keys are held now. */
  int heldNow() {
    return heldSamples;
  }

  private void disturb() {
    if (random.nextInt(400) == 0) {
      takeOver();
    }
    if (random.nextInt(600) == 0) {
      restartTarget();
    }
  }

  private void takeOver() {
    WorldHolder last = holders.get(holders.size() - 1);
    last.cutOff(random.nextBoolean());
    WorldHolder next = new WorldHolder(holders.size() + 1, nowMs);
    next.cutFromOneTarget();
    holders.add(next);
    if (random.nextInt(3) == 0) {
      later(random.nextLong(3_000), () -> next.askPredecessor(last));
    }
  }

  private void restartTarget() {
    List<TargetId> ids = List.copyOf(targets.keySet());
    TargetId ended = ids.get(random.nextInt(ids.size()));
    targets.remove(ended).crash();
    addTarget();
    if (random.nextBoolean()) {
      holders.forEach(holder -> holder.desk.onGone(ended));
    }
  }

  private void checkOwners() {
    heldSamples = 0;
    for (int sample = 0; sample < LeaseTarget.SAMPLES; sample++) {
      List<TargetId> owners = new ArrayList<>();
      for (LeaseTarget target : targets.values()) {
        if (target.holds(sample, nowMs)) {
          owners.add(target.id());
        }
      }
      heldSamples += owners.isEmpty() ? 0 : 1;
      assertWithMessage("owners of sample %s at %s ms", sample, nowMs)
          .that(owners.size())
          .isAtMost(1);
    }
    heldAtMost = Math.max(heldAtMost, heldSamples);
  }

  private void later(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  private List<FleetTarget> fleet() {
    List<FleetTarget> fleet = new ArrayList<>();
    for (TargetId id : targets.keySet()) {
      fleet.add(
          new FleetTarget(
              id, SERVICE, id + ":1", new DataCentreId("zone"), 4, TargetPhase.READY, 0));
    }
    return fleet;
  }

  /** One holder of the term with its desk. */
  private final class WorldHolder {

    private final long term;
    private final LeaseDesk desk;
    private long revision;
    private boolean writing;
    private boolean stopped;
    private boolean storeReachable = true;
    private long stopsAtMs = Long.MAX_VALUE;
    private long tokenCount;
    private final long takenOverFrom;
    private TargetId unreachable;
    private long reachableAtMs;

    WorldHolder(long term, long startMs) {
      this.term = term;
      this.desk = new LeaseDesk(SERVICE, TIMINGS, () -> (this.term << 20) + ++tokenCount);
      this.revision = storedRevision;
      this.takenOverFrom = stored.term();
      stored.tables().forEach(t -> desk.takeOver(t, startMs + TIMINGS.foreignLeaseMs()));
    }

    /** The path to one target is cut for a while; that of the holder before need not be. */
    void cutFromOneTarget() {
      List<TargetId> ids = List.copyOf(targets.keySet());
      unreachable = ids.get(random.nextInt(ids.size()));
      reachableAtMs = nowMs + random.nextLong(15_000);
    }

    /** The holder before stops and tells which leases may still be in force. */
    void askPredecessor(WorldHolder predecessor) {
      predecessor.stopped = true;
      if (predecessor.term == takenOverFrom) {
        desk.limitForeignLeases(predecessor.desk.leasesLeft(nowMs), nowMs);
      }
    }

    /** Another holder has the term; this one may or may not learn it from the store. */
    void cutOff(boolean unreachable) {
      storeReachable = !unreachable;
      stopsAtMs = nowMs + TIMINGS.holderGraceMs();
    }

    void step() {
      if (stopped || nowMs > stopsAtMs) {
        return;
      }
      if (!desk.isPartitioned()) {
        desk.partition(fleet());
      }
      desk.rangesOfOthers(targets::containsKey).forEach(this::moveAnywhere);
      if (random.nextInt(20) == 0) {
        int first = random.nextInt(LeaseTarget.SAMPLES) * LeaseTarget.STEP;
        moveAnywhere(new KeyRange(first, first + LeaseTarget.STEP - 1));
      }
      if (random.nextInt(40) == 0) {
        desk.joinNeighbours(nowMs);
      }
      desk.setOutage(!storeReachable);
      write();
      desk.due(nowMs, target -> true).forEach(this::send);
      if (desk.hasStaleTokens()) {
        stopped = true;
      }
    }

    private void moveAnywhere(KeyRange keys) {
      List<TargetId> ids = List.copyOf(targets.keySet());
      desk.move(keys, ids.get(random.nextInt(ids.size())), nowMs);
    }

    private void write() {
      if (writing || !desk.needsWrite() || !storeReachable) {
        return;
      }
      writing = true;
      long version = desk.version();
      OwnershipRecord next = new OwnershipRecord(term, List.of(desk.table()));
      long expected = revision;
      later(
          random.nextLong(30),
          () -> {
            writing = false;
            if (storedRevision != expected) {
              stopped = true;
              return;
            }
            stored = next;
            storedRevision++;
            revision = storedRevision;
            later(random.nextLong(30), () -> desk.onWritten(version));
          });
    }

    private void send(LeaseOrder order) {
      long sentMs = nowMs;
      long wayMs = random.nextLong(1, 60);
      int luck = random.nextInt(100);
      boolean cut = order.target().equals(unreachable) && nowMs < reachableAtMs;
      if (luck < 5 || cut) {
        later(wayMs, () -> end(order, OrderOutcome.NOT_SENT, sentMs));
      } else if (luck < 10) {
        later(700, () -> end(order, OrderOutcome.UNANSWERED, sentMs));
      } else if (luck < 20) {
        long arrivedMs = sentMs + wayMs;
        later(random.nextLong(2_000, 12_000), () -> arrive(order, arrivedMs));
        later(700, () -> end(order, OrderOutcome.UNANSWERED, sentMs));
      } else {
        later(
            wayMs,
            () -> {
              OrderOutcome outcome = arrive(order, nowMs);
              later(random.nextLong(1, 60), () -> end(order, outcome, sentMs));
            });
      }
    }

    private OrderOutcome arrive(LeaseOrder order, long arrivedMs) {
      LeaseTarget target = targets.get(order.target());
      if (target == null) {
        return OrderOutcome.NOT_SENT;
      }
      if (order instanceof LeaseOrder.Grant grant) {
        return target.grant(grant, arrivedMs);
      }
      return target.release((LeaseOrder.Release) order);
    }

    private void end(LeaseOrder order, OrderOutcome outcome, long sentMs) {
      if (order instanceof LeaseOrder.Grant grant) {
        desk.onGrantEnded(grant, outcome, sentMs, nowMs);
      } else if (order instanceof LeaseOrder.Release release) {
        desk.onReleaseEnded(release, outcome, Optional.empty(), nowMs);
      }
    }
  }

  /** Something that happens later. */
  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
