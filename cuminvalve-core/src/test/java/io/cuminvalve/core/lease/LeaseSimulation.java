package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Simulates term holders, a store and the targets of two services in virtual time with injected
 * faults.
 *
 * <p>A replaced term holder continues until it notices or its grace period is over. One that stops
 * because another has written before it is replaced soon. Targets terminate, and others start at
 * their addresses, at critical moments. {@link LeaseInvariants} are checked after every step.
 */
final class LeaseSimulation {

  /** Faults that are injected around the termination of a run. */
  enum InjectedFault {
    ONE_RESTARTS,
    MANY_RESTART,
    RESTART_AS_THE_HOLDER_IS_REPLACED,
    RESTART_DURING_A_RELEASE,
    RESTART_WITH_ANSWERS_LOST
  }

  private static final long STEP_MS = 25;

  /** Maximum time for which a new term holder cannot reach one of the targets. */
  private static final long MAX_PARTITION_MS = 15_000;

  /**
   * Longer than the leases and the grace period of a suspended term holder, so that it may resume
   * while its successor cannot reach the target.
   */
  private static final long MAX_LONG_PARTITION_MS = 40_000;

  private static final long MAX_SUSPENSION_MS = 25_000;

  /** Maximum time for which the registry lacks the entry of a run that continues. */
  private static final long MAX_LAPSE_MS = 6_000;

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
  private boolean losesEntries;
  private int repeatedNotices;
  private int suspensions;
  private int clockSteps;
  private boolean waitsForLostWrites = true;
  private int lostRecords;

  /** Creates a simulation in which orders name their target or only go to an address. */
  LeaseSimulation(long seed, boolean ordersNameTarget) {
    this(seed, ordersNameTarget, false);
  }

  /** Creates a simulation in which targets may also restart under the same name. */
  LeaseSimulation(long seed, boolean ordersNameTarget, boolean reusesNames) {
    time = new VirtualTime(seed);
    this.reusesNames = reusesNames;
    fleet = new SimulatedFleet(time, this::notifyHolders, reusesNames);
    network = new SimulatedNetwork(time, fleet, invariants, ordersNameTarget);
  }

  /**
   * Enables rollbacks of the store to an older copy, some of them together with the loss of the
   * term holder.
   *
   * @param holdersWait whether term holders wait for leases of moves that the store may have lost
   */
  LeaseSimulation withStoreRollbacks(boolean holdersWait) {
    storeRollbacks = true;
    waitsForLostWrites = holdersWait;
    return this;
  }

  /** Enables suspensions of term holders' hosts and steps of their wall clocks, also combined. */
  LeaseSimulation withClockFaults() {
    clockFaults = true;
    return this;
  }

  /**
   * Enables repeated notices that a run has terminated. If names are reused, runs with other names
   * may use the address of a run before the next run with its name starts there.
   */
  LeaseSimulation withRepeatedNotices() {
    repeatsNotices = true;
    fleet.allowInterleavedNames();
    return this;
  }

  /**
   * Enables runs that restart under the same name at another address, and registry entries that are
   * missing for a time although their runs continue, in most cases around the start of a term. Term
   * holders move keys only if they have to.
   */
  LeaseSimulation withAddressChanges() {
    losesEntries = true;
    fleet.allowAddressChanges();
    return this;
  }

  /** Returns how often a run restarted under the same name at another address. */
  int addressChanges() {
    return fleet.addressChanges();
  }

  /** Returns the number of additional termination notices. */
  int repeatedNotices() {
    return repeatedNotices;
  }

  /** Returns how often a name was reused after a run with another name had used its address. */
  int nameReturns() {
    return fleet.nameReturns();
  }

  /** Returns the number of suspensions of term holders' hosts. */
  int suspensions() {
    return suspensions;
  }

  /** Returns the number of steps of term holders' wall clocks. */
  int clockSteps() {
    return clockSteps;
  }

  /** Returns the number of rollbacks in which the store may have lost a record. */
  int lostRecords() {
    return lostRecords;
  }

  /** Runs the simulation for a time and injects faults throughout. */
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
    if (losesEntries) {
      holder.moveOnlyIfNeeded();
    }
    holders.add(holder);
    return holder;
  }

  /** Notifies each term holder, soon, late or never, that another run answers in place of one. */
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
    if (losesEntries && time.oneIn(100)) {
      fleet.anyRunning().ifPresent(this::loseEntry);
    }
    if (storeRollbacks && time.oneIn(250)) {
      rollBackStore();
    }
    if (time.oneIn(200)) {
      InjectedFault fault = InjectedFault.values()[time.nextInt(InjectedFault.values().length)];
      injectedFaults.add(fault);
      fleet.anyRunning().ifPresent(run -> inject(fault, run));
    }
  }

  private void loseEntry(SimulatedTarget run) {
    run.loseEntry(time.nowMs(), time.nowMs() + time.nextMs(100, MAX_LAPSE_MS));
    if (time.nextInt(3) > 0) {
      time.schedule(time.nextMs(0, 1_000), this::takeOver);
    }
  }

  /**
   * Disturbs the clock of the newest term holder or of its predecessor, which may not know that it
   * was replaced.
   */
  private void injectClockFault() {
    int back = Math.min(holders.size() - 1, time.nextInt(2));
    HostClock clock = holders.get(holders.size() - 1 - back).clock();
    boolean both = time.oneIn(4);
    if (both || time.oneIn(3)) {
      suspensions++;
      clock.suspend(time.nextMs(100, MAX_SUSPENSION_MS));
    } else {
      clockSteps++;
      stepWallClock(clock);
    }
    if (both) {
      clockSteps++;
      clock.stepWallClock(time.nextMs(100, 9_000));
    }
  }

  /** Steps the wall clock forward or back; a time service may reverse the step soon afterwards. */
  private void stepWallClock(HostClock clock) {
    long byMs = time.nextMs(100, 9_000) * (time.oneIn(3) ? -1 : 1);
    clock.stepWallClock(byMs);
    if (time.oneIn(2)) {
      time.schedule(time.nextMs(50, 2_000), () -> clock.stepWallClock(-byMs));
    }
  }

  /** Rolls the store back; the term holder learns of it within 500 ms or is replaced. */
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

  private void inject(InjectedFault fault, SimulatedTarget run) {
    switch (fault) {
      case ONE_RESTARTS -> {
        fleet.restart(run);
        // Only an answer from a run with another name shows that this one has terminated.
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
      default -> throw new IllegalStateException(fault.toString());
    }
  }

  private void takeOver() {
    SimulatedTermHolder last = holders.get(holders.size() - 1);
    last.loseTerm(time.oneIn(2));
    SimulatedTermHolder next = addHolder();
    next.blockPathToAnyTarget(clockFaults ? MAX_LONG_PARTITION_MS : MAX_PARTITION_MS);
    if (time.oneIn(3)) {
      time.schedule(time.nextMs(0, 3_000), () -> next.requestLeasesOfPredecessor(last));
    }
  }
}
