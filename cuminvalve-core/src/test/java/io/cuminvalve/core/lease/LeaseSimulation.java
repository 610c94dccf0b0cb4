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
  enum InjectedFault {
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
  private final boolean reusesNames;
  private final SimulatedFleet fleet;
  private final SimulatedNetwork network;
  private final SimulatedStore store = new SimulatedStore();
  private final LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
  private final List<SimulatedTermHolder> holders = new ArrayList<>();
  private final Set<InjectedFault> injectedFaults = EnumSet.noneOf(InjectedFault.class);
  private boolean storeRollbacks;
  private boolean clockFaults;
  private boolean repeatsNotices;
  private int repeatedNotices;
  private int suspensions;
  private int clockSteps;
  private boolean waitsForLostWrites = true;
  private int lostRecords;

  /** Creates a simulation in which orders name their targets, or give nothing but an address. */
  LeaseSimulation(long seed, boolean ordersNameTarget) {
    this(seed, ordersNameTarget, false);
  }

  /** The same; targets may start again under the names that they had. */
  LeaseSimulation(long seed, boolean ordersNameTarget, boolean reusesNames) {
    time = new VirtualTime(seed);
    this.reusesNames = reusesNames;
    fleet = new SimulatedFleet(time, this::notifyHolders, reusesNames);
    network = new SimulatedNetwork(time, fleet, invariants, ordersNameTarget);
  }

  /** From now on the store comes back older at times, also as the holder is lost. */
  LeaseSimulation withStoreRollbacks(boolean holdersWait) {
    storeRollbacks = true;
    waitsForLostWrites = holdersWait;
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
  LeaseSimulation withRepeatedNotices() {
    repeatsNotices = true;
    fleet.allowInterleavedNames();
    return this;
  }

  /** Returns how often news that had been told, or was to be told, was told once more. */
  int repeatedNotices() {
    return repeatedNotices;
  }

  /** Returns how often a run started again after one of another name had had its address. */
  int nameReturns() {
    return fleet.nameReturns();
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
      time.advance(STEP_MS);
      injectFaults();
      holders.forEach(SimulatedTermHolder::step);
      invariants.check(fleet.running(), time.nowMs());
    }
  }

  LeaseInvariants invariants() {
    return invariants;
  }

  Set<InjectedFault> injectedFaults() {
    return injectedFaults;
  }

  SimulatedNetwork network() {
    return network;
  }

  private SimulatedTermHolder addHolder() {
    SimulatedTermHolder holder =
        new SimulatedTermHolder(
            holders.size() + 1, time, fleet, network, store, waitsForLostWrites);
    if (clockFaults) {
      holder.keepRunningWhenStale();
    }
    holders.add(holder);
    return holder;
  }

  /** Each holder learns that another run answers in place of one: soon, late, or never. */
  private void notifyHolders(SimulatedTarget ended) {
    for (SimulatedTermHolder holder : holders) {
      int choice = time.nextInt(3);
      if (choice > 0) {
        long delayMs = choice == 1 ? time.nextMs(1, 300) : time.nextMs(1_000, 8_000);
        time.schedule(delayMs, () -> holder.onGone(ended.id()));
      }
      for (int i = 0; repeatsNotices && i < 3; i++) {
        repeatNotice(holder, ended);
      }
    }
  }

  private void repeatNotice(SimulatedTermHolder holder, SimulatedTarget ended) {
    boolean listed = time.nextInt(3) > 0;
    time.schedule(
        time.nextMs(1, 6_000),
        () -> {
          repeatedNotices++;
          if (listed) {
            holder.onOtherTarget(ended.id());
          } else {
            holder.onGone(ended.id());
          }
        });
  }

  private void injectFaults() {
    boolean gaveUp = holders.get(holders.size() - 1).isStopped();
    if (time.oneIn(gaveUp ? 20 : 400)) {
      takeOver();
    }
    if (clockFaults && time.oneIn(60)) {
      injectClockFault();
    }
    if (storeRollbacks && time.oneIn(250)) {
      rollBackStore();
    }
    if (time.oneIn(200)) {
      InjectedFault trouble = InjectedFault.values()[time.nextInt(InjectedFault.values().length)];
      injectedFaults.add(trouble);
      fleet.anyRunning().ifPresent(run -> cause(trouble, run));
    }
  }

  /** Mostly that of the last holder, or of the one before, which may not know of the last. */
  private void injectClockFault() {
    int back = Math.min(holders.size() - 1, time.nextInt(2));
    HostClock clock = holders.get(holders.size() - 1 - back).clock();
    boolean both = time.oneIn(4);
    if (both || time.oneIn(3)) {
      suspensions++;
      clock.suspend(time.nextMs(100, LONGEST_SLEEP_MS));
    } else {
      clockSteps++;
      setTimeOfDay(clock);
    }
    if (both) {
      clockSteps++;
      clock.setTimeOfDay(time.nextMs(100, 9_000));
    }
  }

  /** A step ahead or back, which a time service takes back soon, or not at all. */
  private void setTimeOfDay(HostClock clock) {
    long byMs = time.nextMs(100, 9_000) * (time.oneIn(3) ? -1 : 1);
    clock.setTimeOfDay(byMs);
    if (time.oneIn(2)) {
      time.schedule(time.nextMs(50, 2_000), () -> clock.setTimeOfDay(-byMs));
    }
  }

  /** The holder hears of it within half a second, unless it is lost at that moment. */
  private void rollBackStore() {
    int writes = time.nextInt(12);
    lostRecords += writes > 0 ? 1 : 0;
    store.rollBack(writes);
    SimulatedTermHolder last = holders.get(holders.size() - 1);
    if (time.oneIn(3)) {
      time.schedule(time.nextMs(0, 1_500), this::takeOver);
    } else {
      time.schedule(time.nextMs(0, 500), () -> last.onStoreRolledBack(this::addHolder));
    }
  }

  private void cause(InjectedFault trouble, SimulatedTarget run) {
    switch (trouble) {
      case ONE_RESTARTS -> {
        fleet.restart(run);
        // Nobody but a run of another name tells that this one has ended.
        if (!reusesNames && time.oneIn(2)) {
          holders.forEach(holder -> holder.onGone(run.id()));
        }
      }
      case MANY_RESTART -> {
        for (SimulatedTarget one : fleet.running()) {
          if (time.nextInt(3) > 0) {
            time.schedule(time.nextMs(0, 1_000), () -> fleet.restart(one));
          }
        }
      }
      case RESTART_AS_THE_HOLDER_IS_REPLACED -> {
        time.schedule(time.nextMs(0, 1_000), () -> fleet.restart(run));
        time.schedule(time.nextMs(0, 1_000), this::takeOver);
      }
      case RESTART_DURING_A_RELEASE -> {
        holders.get(holders.size() - 1).moveFrom(run);
        time.schedule(time.nextMs(0, 250), () -> fleet.restart(run));
      }
      case RESTART_WITH_ANSWERS_LOST -> {
        fleet.loseAnswers(run.address(), time.nextMs(1_000, 4_000));
        time.schedule(time.nextMs(0, 2_000), () -> fleet.restart(run));
      }
      default -> throw new IllegalStateException(trouble.toString());
    }
  }

  private void takeOver() {
    SimulatedTermHolder last = holders.get(holders.size() - 1);
    last.loseTerm(time.oneIn(2));
    SimulatedTermHolder next = addHolder();
    next.blockPathToAnyTarget(clockFaults ? LONG_CUT_MS : CUT_MS);
    if (time.oneIn(3)) {
      time.schedule(time.nextMs(0, 3_000), () -> next.askPredecessor(last));
    }
  }
}
