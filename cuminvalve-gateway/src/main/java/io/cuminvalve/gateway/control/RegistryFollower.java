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
 * Follows the registry of targets for as long as it is open.
 *
 * <p>Targets rewrite their entries all the time, so a watch that were taken up at once would return
 * dozens of times a second; it is taken up at a pace. An entry that vanished while the registry was
 * out of reach may come back: it is kept for a while. All methods are for the control thread.
 *
 * @since 0.2
 */
final class RegistryFollower {

  /** Pause between two calls: a target that leaves must get nothing after 2 s. */
  static final long PACE_MS = 350;

  /** How long one call waits for a change. */
  static final long WAIT_MS = 400;

  /**
   * After its wait and this long a call is taken for one on a connection that fell silent, and
   * begun anew on another.
   */
  private static final long ANSWER_MS = 400;

  /** Each overdue listing doubles that, up to this: a store that is away is asked less often. */
  private static final long LONGEST_LISTING_ANSWER_MS = 1_600;

  /** A store that answers slowly takes less. */
  static final long SILENT_AFTER_MS = 300;

  private static final long RETRY_MS = 250;

  /** Entries that lapsed in an outage are back within 2 s of its end; a little more for pace. */
  private static final long COMEBACK_MS = 2_200;

  /** In a shorter outage no entry lapses: they live for three beats, and two are left of them. */
  private static final long OUTAGE_MS = 1_750;

  private final TargetRegistry registry;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Runnable onChange;
  private final StoreResponseMonitor silence;
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
  private long listingAnswerMs = ANSWER_MS;
  private long callNumber;
  private long answeredNumber;

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
    this.silence = new StoreResponseMonitor(clock, SILENT_AFTER_MS);
    register.replaceAll(known, true);
  }

  void start() {
    if (closed) {
      return;
    }
    long number = ++callNumber;
    silence.onCall(number, 0);
    UpperTime sent = clock.upper();
    registry
        .list()
        .thenApply(listing -> noteArrival(number, listing.available(), listing))
        .thenAcceptAsync(listing -> onListed(number, listing, sent), control);
    control.schedule(() -> onListingOverdue(number), listingAnswerMs);
  }

  private void onListingOverdue(long number) {
    if (!closed && number == callNumber && number > answeredNumber) {
      log.write("registry_call_renewed", "revision={} age_ms={}", revision, ageMs());
      listingAnswerMs = Math.min(LONGEST_LISTING_ANSWER_MS, 2 * listingAnswerMs);
      start();
    }
  }

  /** Called on the thread that brings the answer. */
  private <T> T noteArrival(long number, boolean available, T answer) {
    if (available) {
      silence.onAnswer(number, WAIT_MS);
    } else {
      silence.onRefusal(number);
    }
    return answer;
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

  /** A target is known to have ended before its registration lapses. */
  void forget(TargetId id) {
    ended.add(id);
    register.remove(id);
  }

  /** Returns when what is known was last all that the registry had; not null. */
  UpperTime confirmed() {
    return confirmed;
  }

  /** Returns how old what is known may be; milliseconds. */
  long ageMs() {
    return clock.upper().sinceMs(confirmed);
  }

  /**
   * Tells whether the registry has refused the last call, or left it without an answer. For any
   * thread.
   */
  boolean isSilent() {
    return silence.isSilent();
  }

  private void onListed(long number, RegistryListing listing, UpperTime sent) {
    if (closed || number <= answeredNumber) {
      return;
    }
    boolean isNewest = number == callNumber;
    if (!listing.available()) {
      if (isNewest) {
        answeredNumber = number;
        noteOutage();
        control.schedule(this::start, RETRY_MS);
      }
      return;
    }
    answeredNumber = callNumber;
    listingAnswerMs = ANSWER_MS;
    onAnswer(sent);
    logUnreadable(listing.unreadable());
    revision = listing.revision();
    noteEpoch(listing.epoch());
    final boolean first = !listed;
    listed = true;
    Set<TargetId> present = new HashSet<>();
    for (FleetTarget target : listing.targets()) {
      present.add(target.id());
    }
    List<FleetTarget> living = new ArrayList<>(listing.targets());
    living.removeIf(target -> ended.contains(target.id()));
    boolean changed = register.replaceAll(living, true);
    for (FleetTarget known : register.all()) {
      if (present.contains(known.id())) {
        removeAtMs.remove(known.id());
      } else {
        removeAtMs.putIfAbsent(known.id(), Math.max(clock.nowMs(), keepUntilMs));
      }
    }
    tell(first | changed | removeDue());
    control.schedule(this::watch, PACE_MS);
  }

  /** Targets that an older copy lacks write their entries again, like after an outage. */
  private void noteEpoch(long now) {
    if (listed && now != epoch) {
      keepUntilMs = clock.nowMs() + COMEBACK_MS;
      log.write("registry_came_back_older", "epoch={}", now);
    }
    epoch = now;
  }

  private void watch() {
    if (closed) {
      return;
    }
    long number = ++callNumber;
    silence.onCall(number, WAIT_MS);
    WatchFreshness proof = new WatchFreshness(clock.upper(), clock.nowMs(), WAIT_MS);
    registry
        .changes(revision, WAIT_MS)
        .thenApply(changes -> noteArrival(number, isAnswered(changes), changes))
        .thenApply(changes -> new Answer(changes, provedBy(changes, proof)))
        .thenAcceptAsync(answer -> onChanges(number, answer), control);
    control.schedule(() -> onOverdue(number), WAIT_MS + ANSWER_MS);
  }

  private static boolean isAnswered(RegistryChanges changes) {
    return changes.status() != RegistryChanges.Status.UNAVAILABLE;
  }

  private void onOverdue(long number) {
    if (!closed && number == callNumber && number > answeredNumber) {
      log.write("registry_call_renewed", "revision={} age_ms={}", revision, ageMs());
      watch();
    }
  }

  /**
   * Takes an answer. That to a call that was begun anew counts too, unless a later one was answered
   * before: a store that is slow all the time would else never be heard.
   */
  private void onChanges(long number, Answer answer) {
    final RegistryChanges changes = answer.changes;
    if (closed || number <= answeredNumber) {
      return;
    }
    if (number != callNumber) {
      onLateChanges(number, answer);
      return;
    }
    answeredNumber = number;
    switch (changes.status()) {
      case ANSWERED -> {
        onAnswer(answer.proved);
        take(changes);
        control.schedule(this::watch, PACE_MS);
      }
      case HISTORY_LOST -> start();
      default -> {
        noteOutage();
        control.schedule(this::watch, RETRY_MS);
      }
    }
  }

  private void onLateChanges(long number, Answer answer) {
    if (answer.changes.status() == RegistryChanges.Status.ANSWERED) {
      answeredNumber = number;
      onAnswer(answer.proved);
      take(answer.changes);
    }
  }

  private UpperTime provedBy(RegistryChanges changes, WatchFreshness proof) {
    boolean unchanged =
        changes.status() == RegistryChanges.Status.ANSWERED
            && changes.written().isEmpty()
            && changes.removed().isEmpty()
            && changes.unreadable().isEmpty();
    return proof.onAnswer(unchanged, clock.nowMs());
  }

  private void noteOutage() {
    if (outageSince.isEmpty()) {
      outageSince = Optional.of(clock.nowMs());
    }
  }

  private void onAnswer(UpperTime proved) {
    if (outageSince.filter(since -> clock.nowMs() - since > OUTAGE_MS).isPresent()) {
      keepUntilMs = clock.nowMs() + COMEBACK_MS;
      log.write("registry_regained", "after_ms={}", ageMs());
    }
    outageSince = Optional.empty();
    confirmed = confirmed.latest(proved);
  }

  /** Such an entry names no target; what was known of others holds. */
  private void logUnreadable(List<String> entries) {
    entries.forEach(entry -> log.write("registration_unreadable", "entry=\"{}\"", entry));
  }

  private void take(RegistryChanges changes) {
    logUnreadable(changes.unreadable());
    revision = Math.max(revision, changes.revision());
    boolean changed = false;
    for (FleetTarget target : changes.written()) {
      if (ended.contains(target.id())) {
        continue;
      }
      removeAtMs.remove(target.id());
      boolean isNews = register.put(target);
      changed |= isNews;
      if (isNews) {
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
    for (TargetId gone : changes.removed()) {
      for (TargetId run : register.runsOf(gone)) {
        removeAtMs.putIfAbsent(run, Math.max(clock.nowMs(), keepUntilMs));
      }
    }
    tell(changed | removeDue());
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

  private void tell(boolean changed) {
    if (changed) {
      onChange.run();
    }
  }

  /** What the registry answered, and as of when that is known to hold. */
  private record Answer(RegistryChanges changes, UpperTime proved) {}
}
