package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The runs of the targets of two services with their addresses and registry entries.
 *
 * <p>When a run terminates, its address is taken by another run of the same or of the other
 * service, or stays free for now. The registry may list the terminated run for seconds and the next
 * one late.
 */
final class SimulatedFleet {

  static final List<ServiceId> SERVICES = List.of(new ServiceId("core"), new ServiceId("edge"));

  private static final int TARGETS = 4;
  private static final double SLOWEST_CLOCK = 1.02;

  private final VirtualTime time;
  private final Consumer<SimulatedTarget> onReplaced;
  private final boolean reusesNames;
  private boolean interleavesOtherNames;
  private boolean changesAddresses;
  private int nameReturns;
  private int addressChanges;

  /** All runs, including terminated ones. */
  private final Map<TargetId, SimulatedTarget> runs = new LinkedHashMap<>();

  /** The current or last run at each address. */
  private final Map<String, SimulatedTarget> lastAt = new LinkedHashMap<>();

  private final Map<String, Long> answersLostUntilMs = new LinkedHashMap<>();

  /** Creates the first runs; the callback receives each run that was replaced. */
  SimulatedFleet(VirtualTime time, Consumer<SimulatedTarget> onReplaced) {
    this(time, onReplaced, false);
  }

  /** Creates the first runs; a run that restarts at the same address may reuse its name. */
  SimulatedFleet(VirtualTime time, Consumer<SimulatedTarget> onReplaced, boolean reusesNames) {
    this.time = time;
    this.onReplaced = onReplaced;
    this.reusesNames = reusesNames;
    for (ServiceId service : SERVICES) {
      for (int i = 0; i < TARGETS; i++) {
        start(service, freshAddress(), 0);
      }
    }
  }

  /** Returns whether a run may reuse the name of a terminated run at the same address. */
  boolean reusesNames() {
    return reusesNames;
  }

  /** Allows runs with other names at an address before its name is reused. */
  void allowInterleavedNames() {
    interleavesOtherNames = true;
  }

  /** Returns how often a name was reused after a run with another name had used its address. */
  int nameReturns() {
    return nameReturns;
  }

  /**
   * Allows runs that restart under the same name at another address, which may have been used
   * before. Their former addresses are taken by runs of the other service.
   */
  void allowAddressChanges() {
    changesAddresses = true;
  }

  /** Returns how often a name was reused at another address. */
  int addressChanges() {
    return addressChanges;
  }

  Collection<SimulatedTarget> runs() {
    return runs.values();
  }

  SimulatedTarget run(TargetId id) {
    return runs.get(id);
  }

  List<SimulatedTarget> running() {
    return runs.values().stream().filter(run -> !run.isEnded()).toList();
  }

  /** Returns a random running run; empty if there is none. */
  Optional<SimulatedTarget> anyRunning() {
    List<SimulatedTarget> running = running();
    return running.isEmpty()
        ? Optional.empty()
        : Optional.of(running.get(time.nextInt(running.size())));
  }

  /** Returns the running run at an address. */
  Optional<SimulatedTarget> runAt(String address) {
    return Optional.ofNullable(lastAt.get(address)).filter(run -> !run.isEnded());
  }

  /** Drops most answers from an address for a time; orders still arrive there. */
  void loseAnswers(String address, long forMs) {
    answersLostUntilMs.put(address, time.nowMs() + forMs);
  }

  boolean losesAnswers(String address) {
    return answersLostUntilMs.getOrDefault(address, 0L) > time.nowMs();
  }

  /** Terminates a run and starts another at its address; the registry lists both for a time. */
  SimulatedTarget replace(SimulatedTarget run, ServiceId nextService, long listedForMs) {
    run.end(time.nowMs() + listedForMs);
    return start(nextService, run.address(), 0);
  }

  /** Terminates a run; the next one starts within 2 s at the same or another address. */
  void restart(SimulatedTarget run) {
    if (run.isEnded()) {
      return;
    }
    run.end(time.nowMs() + (time.oneIn(2) ? time.nextMs(0, 300) : time.nextMs(2_000, 15_000)));
    int choice = time.nextInt(10);
    time.schedule(time.nextMs(1, 2_000), () -> startNext(run, choice));
  }

  private void startNext(SimulatedTarget ended, int choice) {
    ServiceId service = ended.service();
    boolean isFree = runAt(ended.address()).isEmpty();
    if (changesAddresses && time.oneIn(2)) {
      String address = time.oneIn(2) ? freshAddress() : freeAddress();
      restartAt(address, ended, listingDelay());
      time.schedule(time.nextMs(1, 3_000), () -> reuseAddress(ended));
    } else if (isFree && choice < 6 && interleavesOtherNames && reusesNames && time.oneIn(2)) {
      SimulatedTarget between = start(service, ended.address(), listingDelay());
      time.schedule(time.nextMs(1, 2_000), () -> restartAfterInterleaved(between, ended));
    } else if (isFree && choice < 6 && reusesNames && time.nextInt(4) > 0) {
      restartUnderSameName(ended, listingDelay());
    } else if (isFree && choice < 6) {
      start(service, ended.address(), listingDelay());
    } else if (isFree && choice < 8) {
      ServiceId other = SERVICES.get(1 - SERVICES.indexOf(service));
      if (count(other) < 2 * TARGETS) {
        start(other, ended.address(), listingDelay());
      }
    }
    while (count(service) < TARGETS) {
      start(service, time.oneIn(2) ? freshAddress() : freeAddress(), listingDelay());
    }
  }

  /** Terminates the interleaved run and restarts the earlier run under its name. */
  private void restartAfterInterleaved(SimulatedTarget between, SimulatedTarget ended) {
    if (!between.isEnded()) {
      between.end(time.nowMs() + time.nextMs(0, 2_000));
      nameReturns++;
      restartUnderSameName(ended, listingDelay());
    }
  }

  /** Starts a run of the other service at the address of a terminated run, if it is free. */
  private void reuseAddress(SimulatedTarget ended) {
    ServiceId other = SERVICES.get(1 - SERVICES.indexOf(ended.service()));
    if (runAt(ended.address()).isEmpty() && count(other) < 2 * TARGETS) {
      start(other, ended.address(), listingDelay());
    }
  }

  private long count(ServiceId service) {
    return running().stream().filter(run -> run.service().equals(service)).count();
  }

  private long listingDelay() {
    return time.oneIn(4) ? time.nextMs(2_000, 8_000) : time.nextMs(0, 500);
  }

  String freshAddress() {
    return "10.0.0." + (lastAt.size() + 1);
  }

  private String freeAddress() {
    List<String> free = new ArrayList<>(lastAt.keySet());
    free.removeIf(address -> runAt(address).isPresent());
    return free.isEmpty() ? freshAddress() : free.get(time.nextInt(free.size()));
  }

  private SimulatedTarget start(ServiceId service, String address, long listingDelayMs) {
    TargetId id = new TargetId("run-" + (runs.size() + 1));
    SimulatedTarget before = lastAt.get(address);
    SimulatedTarget next = begin(id, service, address, listingDelayMs);
    if (before != null) {
      onReplaced.accept(before);
    }
    return next;
  }

  /** Starts a run with the address and name of a terminated one and replaces its registry entry. */
  SimulatedTarget restartUnderSameName(SimulatedTarget ended, long listingDelayMs) {
    return restartAt(ended.address(), ended, listingDelayMs);
  }

  /** Starts a run with the name of a terminated one at any address and replaces its entry. */
  SimulatedTarget restartAt(String address, SimulatedTarget ended, long listingDelayMs) {
    TargetId id = TargetId.ofRun(ended.id().name(), time.nowMs() + 1);
    ended.end(Math.min(ended.listedUntilMs(), time.nowMs() + listingDelayMs));
    addressChanges += address.equals(ended.address()) ? 0 : 1;
    return begin(id, ended.service(), address, listingDelayMs);
  }

  private SimulatedTarget begin(
      TargetId id, ServiceId service, String address, long listingDelayMs) {
    double clockRate = time.oneIn(3) ? SLOWEST_CLOCK : 1 + time.nextDouble() * (SLOWEST_CLOCK - 1);
    SimulatedTarget next =
        new SimulatedTarget(id, service, address, clockRate, time.nowMs() + listingDelayMs);
    runs.put(id, next);
    lastAt.put(address, next);
    return next;
  }
}
