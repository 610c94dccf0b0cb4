package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetRegister;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Follows the registry of targets while it is open.
 *
 * <p>Targets rewrite their entries frequently, so a watch that is repeated immediately would return
 * dozens of times per second. A pause between watches limits the rate. An entry that disappeared
 * while the registry was unreachable may reappear, so it is kept for some time. All methods run on
 * the control thread.
 *
 * @since 0.2
 */
final class RegistryFollower {

  /** Pause between two calls. A leaving target must not receive requests after 2 s. */
  static final long PACE_MS = 350;

  /** How long one call waits for a change. */
  static final long WAIT_MS = 400;

  /**
   * Time after the wait until a call is considered lost on an unresponsive connection and is
   * repeated on another one.
   */
  private static final long RESPONSE_TIMEOUT_MS = 400;

  /**
   * Upper bound for {@link #RESPONSE_TIMEOUT_MS} of listings, which each overdue listing doubles so
   * that an unreachable store gets fewer calls.
   */
  private static final long MAX_LISTING_TIMEOUT_MS = 1_600;

  /** Response time after which the store counts as silent. A slow store responds faster. */
  static final long SILENT_AFTER_MS = 300;

  private static final long RETRY_MS = 250;

  /**
   * How long missing entries are kept after an outage. Entries that expired in an outage reappear
   * within 2 s of its end; the rest allows for the pause between calls.
   */
  private static final long REAPPEAR_MS = 2_200;

  /**
   * Shortest outage in which an entry can expire. Entries live for three heartbeats, and at least
   * two of them remain when an outage begins.
   */
  private static final long OUTAGE_MS = 1_750;

  private final TargetRegistry registry;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Runnable onChange;
  private final StoreResponseMonitor monitor;
  private final TargetRegister register = new TargetRegister();
  private final Map<TargetId, Long> removeAtMs = new HashMap<>();
  private final Set<TargetId> ended = new HashSet<>();
  private boolean closed;
  private boolean listed;
  private long revision;
  private long epoch;
  private UpperTime confirmed;
  private long keepUntilMs;
  private Optional<Long> outageSince = Optional.empty();
  private long listingTimeoutMs = RESPONSE_TIMEOUT_MS;
  private long callNumber;
  private long answeredCallNumber;

  RegistryFollower(
      TargetRegistry registry,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      Collection<FleetTarget> known,
      UpperTime knownAt,
      Runnable onChange) {
    this.registry = registry;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
    this.confirmed = knownAt;
    this.monitor = new StoreResponseMonitor(clock, SILENT_AFTER_MS);
    register.replaceAll(known, true);
  }

  void start() {
    if (closed) {
      return;
    }
    long number = ++callNumber;
    monitor.onCall(number, 0);
    UpperTime sent = clock.upper();
    registry
        .list()
        .thenApply(listing -> recordResponse(number, listing.available(), listing))
        .thenAcceptAsync(listing -> onListing(number, listing, sent), control);
    control.schedule(() -> onListingOverdue(number), listingTimeoutMs);
  }

  private void onListingOverdue(long number) {
    if (!closed && number == callNumber && number > answeredCallNumber) {
      log.write("registry_call_renewed", "revision={} age_ms={}", revision, ageMs());
      listingTimeoutMs = Math.min(MAX_LISTING_TIMEOUT_MS, 2 * listingTimeoutMs);
      start();
    }
  }

  /** Records a response. Must be called on the thread that delivers it. */
  private <T> T recordResponse(long number, boolean available, T response) {
    if (available) {
      monitor.onResponse(number, WAIT_MS);
    } else {
      monitor.onRefusal(number);
    }
    return response;
  }

  void close() {
    closed = true;
  }

  TargetRegister register() {
    return register;
  }

  boolean isListed() {
    return listed;
  }

  /** Removes a target that is known to have ended before its registration expires. */
  void forget(TargetId id) {
    ended.add(id);
    register.remove(id);
  }

  /** Returns when the known targets last matched the registry; not null. */
  UpperTime confirmed() {
    return confirmed;
  }

  /** Returns the time since the known targets were last confirmed; milliseconds. */
  long ageMs() {
    return clock.upper().sinceMs(confirmed);
  }

  /** Returns whether the registry refused the last call or its response is overdue. Thread-safe. */
  boolean isSilent() {
    return monitor.isSilent();
  }

  private void onListing(long number, RegistryListing listing, UpperTime sent) {
    if (closed || number <= answeredCallNumber) {
      return;
    }
    boolean isNewest = number == callNumber;
    if (!listing.available()) {
      if (isNewest) {
        answeredCallNumber = number;
        recordOutage();
        control.schedule(this::start, RETRY_MS);
      }
      return;
    }
    answeredCallNumber = callNumber;
    listingTimeoutMs = RESPONSE_TIMEOUT_MS;
    onResponse(sent);
    logUnreadable(listing.unreadable());
    revision = listing.revision();
    recordEpoch(listing.epoch());
    final boolean firstListing = !listed;
    listed = true;
    Set<TargetId> present = new HashSet<>();
    for (FleetTarget target : listing.targets()) {
      present.add(target.id());
    }
    List<FleetTarget> running = new ArrayList<>(listing.targets());
    running.removeIf(target -> ended.contains(target.id()));
    boolean changed = register.replaceAll(running, true);
    for (FleetTarget known : register.all()) {
      if (present.contains(known.id())) {
        removeAtMs.remove(known.id());
      } else {
        removeAtMs.putIfAbsent(known.id(), Math.max(clock.nowMs(), keepUntilMs));
      }
    }
    notifyIfChanged(firstListing | changed | removeDue());
    control.schedule(this::watch, PACE_MS);
  }

  /**
   * Notes the epoch of the store. After a restore from an older copy, targets that the copy lacks
   * write their entries again, as after an outage.
   */
  private void recordEpoch(long now) {
    if (listed && now != epoch) {
      keepUntilMs = clock.nowMs() + REAPPEAR_MS;
      log.write("registry_came_back_older", "epoch={}", now);
    }
    epoch = now;
  }

  private void watch() {
    if (closed) {
      return;
    }
    long number = ++callNumber;
    monitor.onCall(number, WAIT_MS);
    WatchFreshness freshness = new WatchFreshness(clock.upper(), clock.nowMs(), WAIT_MS);
    registry
        .changes(revision, WAIT_MS)
        .thenApply(changes -> recordResponse(number, isAvailable(changes), changes))
        .thenApply(changes -> new Response(changes, validAsOf(changes, freshness)))
        .thenAcceptAsync(response -> onChanges(number, response), control);
    control.schedule(() -> onOverdue(number), WAIT_MS + RESPONSE_TIMEOUT_MS);
  }

  private static boolean isAvailable(RegistryChanges changes) {
    return changes.status() != RegistryChanges.Status.UNAVAILABLE;
  }

  private void onOverdue(long number) {
    if (!closed && number == callNumber && number > answeredCallNumber) {
      log.write("registry_call_renewed", "revision={} age_ms={}", revision, ageMs());
      watch();
    }
  }

  /**
   * Processes a response. The response to a call that was repeated since counts too, unless a later
   * call has been answered. Otherwise no response of a permanently slow store would ever count.
   */
  private void onChanges(long number, Response response) {
    final RegistryChanges changes = response.changes;
    if (closed || number <= answeredCallNumber) {
      return;
    }
    if (number != callNumber) {
      onLateChanges(number, response);
      return;
    }
    answeredCallNumber = number;
    switch (changes.status()) {
      case ANSWERED -> {
        onResponse(response.validAsOf);
        applyChanges(changes);
        control.schedule(this::watch, PACE_MS);
      }
      case HISTORY_LOST -> start();
      default -> {
        recordOutage();
        control.schedule(this::watch, RETRY_MS);
      }
    }
  }

  private void onLateChanges(long number, Response response) {
    if (response.changes.status() == RegistryChanges.Status.ANSWERED) {
      answeredCallNumber = number;
      onResponse(response.validAsOf);
      applyChanges(response.changes);
    }
  }

  private UpperTime validAsOf(RegistryChanges changes, WatchFreshness freshness) {
    boolean unchanged =
        changes.status() == RegistryChanges.Status.ANSWERED
            && changes.written().isEmpty()
            && changes.removed().isEmpty()
            && changes.unreadable().isEmpty();
    return freshness.validAsOf(unchanged, clock.nowMs());
  }

  private void recordOutage() {
    if (outageSince.isEmpty()) {
      outageSince = Optional.of(clock.nowMs());
    }
  }

  private void onResponse(UpperTime validAsOf) {
    if (outageSince.filter(since -> clock.nowMs() - since > OUTAGE_MS).isPresent()) {
      keepUntilMs = clock.nowMs() + REAPPEAR_MS;
      log.write("registry_regained", "after_ms={}", ageMs());
    }
    outageSince = Optional.empty();
    confirmed = confirmed.latest(validAsOf);
  }

  /** Logs entries that cannot be decoded. The other known targets stay valid. */
  private void logUnreadable(List<String> entries) {
    entries.forEach(entry -> log.write("registration_unreadable", "entry=\"{}\"", entry));
  }

  private void applyChanges(RegistryChanges changes) {
    logUnreadable(changes.unreadable());
    revision = Math.max(revision, changes.revision());
    boolean changed = false;
    for (FleetTarget target : changes.written()) {
      if (ended.contains(target.id())) {
        continue;
      }
      removeAtMs.remove(target.id());
      boolean updated = register.put(target);
      changed |= updated;
      if (updated) {
        log.write(
            "target_registered",
            "target={} service={} address={} phase={} cold_ms={}",
            target.id(),
            target.service(),
            target.address(),
            target.phase(),
            target.coldMs());
      }
    }
    for (TargetId removed : changes.removed()) {
      for (TargetId run : register.runsOf(removed)) {
        removeAtMs.putIfAbsent(run, Math.max(clock.nowMs(), keepUntilMs));
      }
    }
    notifyIfChanged(changed | removeDue());
  }

  private boolean removeDue() {
    long nowMs = clock.nowMs();
    boolean changed = false;
    for (Map.Entry<TargetId, Long> entry : Map.copyOf(removeAtMs).entrySet()) {
      if (entry.getValue() <= nowMs) {
        removeAtMs.remove(entry.getKey());
        changed |= register.remove(entry.getKey());
        log.write("target_removed", "target={}", entry.getKey());
      }
    }
    return changed;
  }

  private void notifyIfChanged(boolean changed) {
    if (changed) {
      onChange.run();
    }
  }

  /** A response of the registry and the time as of which it is valid. */
  private record Response(RegistryChanges changes, UpperTime validAsOf) {}
}
