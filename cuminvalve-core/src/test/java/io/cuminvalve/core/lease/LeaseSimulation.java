package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Holders of the term, a store and targets of two services over virtual time.
 *
 * <p>A holder that is replaced goes on until it notices or its grace is over; one that gives up, as
 * another wrote before it, is replaced soon. Targets end and others take their addresses, at the
 * worst moments. {@link LeaseInvariants} are looked at in every step.
 */
final class LeaseSimulation {

  /** What goes wrong around the end of a run. */
  enum Trouble {
    ONE_RESTARTS,
    MANY_RESTART,
    RESTART_AS_THE_HOLDER_IS_REPLACED,
    RESTART_DURING_A_RELEASE,
    RESTART_WITH_ANSWERS_LOST
  }

  private static final long STEP_MS = 25;

  private static final long CUT_MS = 15_000;

  /** Longer than a sleeping holder's leases and its grace: it wakes up while nobody else asks. */
  private static final long LONG_CUT_MS = 40_000;

  private static final long LONGEST_SLEEP_MS = 25_000;

  private final VirtualTime time;
  private final boolean namesAreUsedAgain;
  private final SimulatedFleet fleet;
  private final SimulatedNetwork network;
  private final SimulatedStore store = new SimulatedStore();
  private final LeaseInvariants promises = new LeaseInvariants(SimulatedFleet.SERVICES);
  private final List<SimulatedTermHolder> holders = new ArrayList<>();
  private final Set<Trouble> troubles = EnumSet.noneOf(Trouble.class);
  private boolean olderStores;
  private boolean clockFaults;
  private boolean newsComesAgain;
  private int newsToldAgain;
  private int suspensions;
  private int clockSteps;
  private boolean waitsForLostMoves = true;
  private int lostRecords;

  /** Creates a world in which orders name their targets, or give nothing but an address. */
  LeaseSimulation(long seed, boolean targetsAreNamed) {
    this(seed, targetsAreNamed, false);
  }

  /** The same; targets may start again under the names that they had. */
  LeaseSimulation(long seed, boolean targetsAreNamed, boolean namesAreUsedAgain) {
    time = new VirtualTime(seed);
    this.namesAreUsedAgain = namesAreUsedAgain;
    fleet = new SimulatedFleet(time, this::tellReplaced, namesAreUsedAgain);
    network = new SimulatedNetwork(time, fleet, promises, targetsAreNamed);
  }

  /** From now on the store comes back older at times, also as the holder is lost. */
  LeaseSimulation withOlderStores(boolean holdersWait) {
    olderStores = true;
    waitsForLostMoves = holdersWait;
    return this;
  }

  /** From now on hosts of holders are suspended and their times of day set, at times both. */
  LeaseSimulation withClockFaults() {
    clockFaults = true;
    return this;
  }

  /**
   * From now on the news that a run has ended comes again and again. Where names are used again,
   * runs of other names have the address of one until the next run of its name starts there.
   */
  LeaseSimulation withNewsToldAgain() {
    newsComesAgain = true;
    fleet.letOthersComeBetween();
    return this;
  }

  /** Returns how often news that had been told, or was to be told, was told once more. */
  int newsToldAgain() {
    return newsToldAgain;
  }

  /** Returns how often a run started again after one of another name had had its address. */
  int returns() {
    return fleet.returns();
  }

  /** Returns how often a holder's host was suspended. */
  int suspensions() {
    return suspensions;
  }

  /** Returns how often a holder's time of day was set. */
  int clockSteps() {
    return clockSteps;
  }

  /** Returns how often the store came back without a record that had been written. */
  int lostRecords() {
    return lostRecords;
  }

  /** Runs for a while; things go wrong all the time. */
  void run(long durationMs) {
    long endMs = time.nowMs() + durationMs;
    addHolder();
    while (time.nowMs() < endMs) {
      time.pass(STEP_MS);
      disturb();
      holders.forEach(SimulatedTermHolder::step);
      promises.check(fleet.living(), time.nowMs());
    }
  }

  LeaseInvariants promises() {
    return promises;
  }

  Set<Trouble> troubles() {
    return troubles;
  }

  SimulatedNetwork network() {
    return network;
  }

  private SimulatedTermHolder addHolder() {
    SimulatedTermHolder holder =
        new SimulatedTermHolder(holders.size() + 1, time, fleet, network, store, waitsForLostMoves);
    if (clockFaults) {
      holder.goOnWhenStale();
    }
    holders.add(holder);
    return holder;
  }

  /** Each holder learns that another run answers in place of one: soon, late, or never. */
  private void tellReplaced(SimulatedTarget ended) {
    for (SimulatedTermHolder holder : holders) {
      int luck = time.draw(3);
      if (luck > 0) {
        long delayMs = luck == 1 ? time.between(1, 300) : time.between(1_000, 8_000);
        time.later(delayMs, () -> holder.onGone(ended.id()));
      }
      for (int i = 0; newsComesAgain && i < 3; i++) {
        tellAgain(holder, ended);
      }
    }
  }

  private void tellAgain(SimulatedTermHolder holder, SimulatedTarget ended) {
    boolean listed = time.draw(3) > 0;
    time.later(
        time.between(1, 6_000),
        () -> {
          newsToldAgain++;
          if (listed) {
            holder.onOtherTarget(ended.id());
          } else {
            holder.onGone(ended.id());
          }
        });
  }

  private void disturb() {
    boolean gaveUp = holders.get(holders.size() - 1).isStopped();
    if (time.onceIn(gaveUp ? 20 : 400)) {
      takeOver();
    }
    if (clockFaults && time.onceIn(60)) {
      disturbClock();
    }
    if (olderStores && time.onceIn(250)) {
      comeBackOlder();
    }
    if (time.onceIn(200)) {
      Trouble trouble = Trouble.values()[time.draw(Trouble.values().length)];
      troubles.add(trouble);
      fleet.anyLiving().ifPresent(run -> cause(trouble, run));
    }
  }

  /** Mostly that of the last holder, or of the one before, which may not know of the last. */
  private void disturbClock() {
    int back = Math.min(holders.size() - 1, time.draw(2));
    HostClock clock = holders.get(holders.size() - 1 - back).clock();
    boolean both = time.onceIn(4);
    if (both || time.onceIn(3)) {
      suspensions++;
      clock.suspend(time.between(100, LONGEST_SLEEP_MS));
    } else {
      clockSteps++;
      setTimeOfDay(clock);
    }
    if (both) {
      clockSteps++;
      clock.setTimeOfDay(time.between(100, 9_000));
    }
  }

  /** A step ahead or back, which a time service takes back soon, or not at all. */
  private void setTimeOfDay(HostClock clock) {
    long byMs = time.between(100, 9_000) * (time.onceIn(3) ? -1 : 1);
    clock.setTimeOfDay(byMs);
    if (time.onceIn(2)) {
      time.later(time.between(50, 2_000), () -> clock.setTimeOfDay(-byMs));
    }
  }

  /** The holder hears of it within half a second, unless it is lost at that moment. */
  private void comeBackOlder() {
    int writes = time.draw(12);
    lostRecords += writes > 0 ? 1 : 0;
    store.comeBackWithout(writes);
    SimulatedTermHolder last = holders.get(holders.size() - 1);
    if (time.onceIn(3)) {
      time.later(time.between(0, 1_500), this::takeOver);
    } else {
      time.later(time.between(0, 500), () -> last.onStoreCameBack(this::addHolder));
    }
  }

  private void cause(Trouble trouble, SimulatedTarget run) {
    switch (trouble) {
      case ONE_RESTARTS -> {
        fleet.restart(run);
        // Nobody but a run of another name tells that this one has ended.
        if (!namesAreUsedAgain && time.onceIn(2)) {
          holders.forEach(holder -> holder.onGone(run.id()));
        }
      }
      case MANY_RESTART -> {
        for (SimulatedTarget one : fleet.living()) {
          if (time.draw(3) > 0) {
            time.later(time.between(0, 1_000), () -> fleet.restart(one));
          }
        }
      }
      case RESTART_AS_THE_HOLDER_IS_REPLACED -> {
        time.later(time.between(0, 1_000), () -> fleet.restart(run));
        time.later(time.between(0, 1_000), this::takeOver);
      }
      case RESTART_DURING_A_RELEASE -> {
        holders.get(holders.size() - 1).moveFrom(run);
        time.later(time.between(0, 250), () -> fleet.restart(run));
      }
      case RESTART_WITH_ANSWERS_LOST -> {
        fleet.loseAnswers(run.address(), time.between(1_000, 4_000));
        time.later(time.between(0, 2_000), () -> fleet.restart(run));
      }
      default -> throw new IllegalStateException(trouble.toString());
    }
  }

  private void takeOver() {
    SimulatedTermHolder last = holders.get(holders.size() - 1);
    last.cutOff(time.onceIn(2));
    SimulatedTermHolder next = addHolder();
    next.cutFromOneTarget(clockFaults ? LONG_CUT_MS : CUT_MS);
    if (time.onceIn(3)) {
      time.later(time.between(0, 3_000), () -> next.askPredecessor(last));
    }
  }
}
