package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.TrialPermit;
import io.cuminvalve.core.protocol.TrialRequest;
import io.cuminvalve.core.quarantine.CrashReport;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.core.quarantine.CrashedRun;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.BrokenAttempt;
import io.cuminvalve.gateway.traffic.RequestQuarantine;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Replicates which requests were running when targets crashed, and quarantines requests that crash
 * one target after another.
 *
 * <p>A request may be retried at any gateway, so no gateway alone sees enough crashes. By a {@link
 * StateExchange} the holder of the term and its deputies receive every crash, and all gateways
 * receive the requests that crashed two targets. Confined to the control thread.
 */
final class CrashCoordinator implements StateExchange.LocalState<CrashUpdate> {

  /** The other gateways, the state of the term and the persistent quarantine. */
  interface Peers extends FleetMessenger {

    /** Returns whether this process holds the term. */
    boolean isHolder();

    /** Persists the quarantined requests, as the holder, in case the whole fleet is lost. */
    void persist(CrashUpdate quarantined);
  }

  /**
   * Number of requests with crashes seen by this gateway that are kept for a later holder. The
   * oldest are evicted.
   */
  private static final int MAX_LOCAL_CRASHES = 64;

  /**
   * Duration of a trial. A permit is used within 1 s, and all gateways know the result 0.5 s later.
   */
  private static final long TRIAL_DURATION_MS = 1_500;

  private final CrashTracker crashTracker;
  private final RequestQuarantine quarantine;
  private final Peers peers;
  private final StateExchange<CrashUpdate> exchange;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Set<RequestFingerprint> locallySeen = new LinkedHashSet<>();
  private final Map<RequestFingerprint, Long> trialsEndMs = new HashMap<>();
  private Set<RequestFingerprint> watched = Set.of();
  private long persistedDigest;
  private Map<RequestFingerprint, Long> quarantined = Map.of();
  private final Map<RequestFingerprint, Integer> crashCounts = new HashMap<>();

  CrashCoordinator(
      CrashTracker crashTracker,
      RequestQuarantine quarantine,
      Peers peers,
      MillisClock clock,
      DecisionLog log) {
    this.crashTracker = crashTracker;
    this.quarantine = quarantine;
    this.peers = peers;
    this.exchange = new StateExchange<>(this, peers);
    this.clock = clock;
    this.log = log;
  }

  /** Processes crashes of targets that were running requests of this gateway. */
  void onCrashed(List<BrokenAttempt> attempts) {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> changed = new LinkedHashSet<>();
    for (BrokenAttempt attempt : attempts) {
      log.write(
          "target_ended_under_request",
          "id={} fingerprint={} target={} sent_before_ms={} known_after_ms={}",
          attempt.attemptId(),
          attempt.identity(),
          attempt.target(),
          attempt.endedMs() - attempt.sentMs(),
          nowMs - attempt.endedMs());
      recordCrash(attempt.identity().content(), attempt.asCrash(), nowMs, changed);
      recordCrash(attempt.identity().contentAndCaller(), attempt.asCrash(), nowMs, changed);
    }
    applyChanges(changed, Set.of());
  }

  private void recordCrash(
      RequestFingerprint fingerprint, CrashedRun run, long nowMs, Set<RequestFingerprint> changed) {
    if (crashTracker.onCrash(fingerprint, run, nowMs)) {
      changed.add(fingerprint);
    }
  }

  /** Processes the response to a watched request that this gateway forwarded. */
  void onAnswered(RequestFingerprint fingerprint) {
    long nowMs = clock.nowMs();
    if (crashTracker.onAnswer(fingerprint, nowMs, nowMs)) {
      applyChanges(Set.of(fingerprint), Set.of());
    }
  }

  /** Processes crashes sent by another process. */
  void onUpdate(CrashUpdate update, Consumer<FleetMessage> sender) {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> learned = new LinkedHashSet<>();
    for (CrashReport report : update.reports()) {
      if (crashTracker.merge(report, nowMs)) {
        learned.add(report.fingerprint());
      }
    }
    applyChanges(Set.of(), learned);
    if (update.complete()) {
      exchange.onComplete(update, sender);
    }
  }

  @Override
  public Optional<CrashUpdate> missingFrom(CrashUpdate received) {
    Set<RequestFingerprint> missing = new HashSet<>(watched);
    for (CrashReport report : received.reports()) {
      RequestFingerprint fingerprint = report.fingerprint();
      if (report.runs().size() >= crashTracker.crashesOf(fingerprint).size()) {
        missing.remove(fingerprint);
      }
      if (!watched.contains(fingerprint) && crashTracker.wasAnswered(fingerprint)) {
        missing.add(fingerprint);
      }
    }
    return missing.isEmpty()
        ? Optional.empty()
        : Optional.of(new CrashUpdate(false, crashTracker.reports(missing, clock.nowMs())));
  }

  /** Requests a trial permit for a watched request of this gateway. */
  void onTrialWanted(RequestFingerprint fingerprint) {
    if (peers.isHolder()) {
      onTrialRequest(fingerprint, permit -> quarantine.permitTrial(fingerprint));
    } else {
      exchange.sendToHolder(new TrialRequest(fingerprint));
    }
  }

  /** Processes a trial request, as the holder. Grants one permit at a time for each request. */
  void onTrialRequest(RequestFingerprint fingerprint, Consumer<FleetMessage> sender) {
    long nowMs = clock.nowMs();
    trialsEndMs.values().removeIf(untilMs -> untilMs <= nowMs);
    if (!peers.isHolder() || trialsEndMs.containsKey(fingerprint)) {
      return;
    }
    trialsEndMs.put(fingerprint, nowMs + TRIAL_DURATION_MS);
    sender.accept(new TrialPermit(fingerprint));
  }

  /** Processes a permit of the holder for one trial. */
  void onTrialPermit(RequestFingerprint fingerprint) {
    quarantine.permitTrial(fingerprint);
  }

  /** Processes the digest of watched requests of another process. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    exchange.onDigest(digest, sender);
  }

  @Override
  public CrashUpdate complete() {
    return new CrashUpdate(true, crashTracker.reports(watched, clock.nowMs()));
  }

  /** Returns a digest of the watched requests and their crashes; 0 if there is none. */
  @Override
  public long digest() {
    refreshQuarantine();
    return watched.stream().mapToLong(this::digestOf).sum();
  }

  private long digestOf(RequestFingerprint fingerprint) {
    return fingerprint.value() * crashTracker.crashesOf(fingerprint).size();
  }

  /**
   * Sets the addresses of the holder, empty if it is this gateway, and of its deputies. New ones
   * are sent the crashes that this gateway has seen.
   */
  void onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    Set<String> added = exchange.onHolderAndDeputies(holderAddress, deputies);
    if (!added.isEmpty() && !locallySeen.isEmpty()) {
      CrashUpdate all = new CrashUpdate(false, crashTracker.reports(locallySeen, clock.nowMs()));
      added.forEach(address -> peers.tell(address, all));
    }
  }

  /** Applies changes and sends them to the gateways that need them. */
  private void applyChanges(Set<RequestFingerprint> ownChanges, Set<RequestFingerprint> learned) {
    if (ownChanges.isEmpty() && learned.isEmpty()) {
      return;
    }
    final Set<RequestFingerprint> before = watched;
    refreshQuarantine();
    Set<RequestFingerprint> own = new LinkedHashSet<>(ownChanges);
    own.addAll(clearAnswered());
    rememberLocal(own);
    sendToHolderAndDeputies(own);
    if (peers.isHolder()) {
      Set<RequestFingerprint> broadcast = new LinkedHashSet<>(own);
      broadcast.addAll(learned);
      broadcast.removeIf(changed -> !before.contains(changed) && !watched.contains(changed));
      sendToFollowers(broadcast);
      persistQuarantined();
    }
  }

  private void persistQuarantined() {
    long digest = quarantined.keySet().stream().mapToLong(this::digestOf).sum();
    if (digest != persistedDigest) {
      persistedDigest = digest;
      peers.persist(
          new CrashUpdate(false, crashTracker.reports(quarantined.keySet(), clock.nowMs())));
    }
  }

  /** Merges the quarantine stored by the previous holder, after this process acquired the term. */
  void onStored(CrashUpdate stored) {
    onUpdate(stored, message -> {});
    persistQuarantined();
  }

  private void sendToHolderAndDeputies(Set<RequestFingerprint> changed) {
    if (!changed.isEmpty()) {
      exchange.sendToHolderAndDeputies(
          new CrashUpdate(false, crashTracker.reports(changed, clock.nowMs())));
    }
  }

  private void sendToFollowers(Set<RequestFingerprint> changed) {
    if (!changed.isEmpty()) {
      peers.sendToFollowers(new CrashUpdate(false, crashTracker.reports(changed, clock.nowMs())));
    }
  }

  private void rememberLocal(Set<RequestFingerprint> changed) {
    locallySeen.removeAll(changed);
    locallySeen.addAll(changed);
    List<RequestFingerprint> inOrder = new ArrayList<>(locallySeen);
    int excess = Math.max(0, inOrder.size() - MAX_LOCAL_CRASHES);
    inOrder.subList(0, excess).forEach(locallySeen::remove);
  }

  /** Clears newly watched requests that were answered by way of this gateway recently. */
  private Set<RequestFingerprint> clearAnswered() {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> cleared = new LinkedHashSet<>();
    for (RequestFingerprint fingerprint : watched) {
      quarantine
          .lastAnsweredMs(fingerprint)
          .ifPresent(
              atMs -> {
                if (crashTracker.onAnswer(fingerprint, atMs, nowMs)) {
                  cleared.add(fingerprint);
                }
              });
    }
    if (!cleared.isEmpty()) {
      refreshQuarantine();
    }
    return cleared;
  }

  private void refreshQuarantine() {
    long nowMs = clock.nowMs();
    watched = crashTracker.watched(nowMs);
    Map<RequestFingerprint, Long> now = crashTracker.quarantinedUntilMs(nowMs);
    now.forEach((fingerprint, untilMs) -> logBegin(fingerprint, untilMs - nowMs));
    quarantined.keySet().stream()
        .filter(fingerprint -> !now.containsKey(fingerprint))
        .forEach(this::logEnd);
    quarantined = now;
    quarantine.install(now, watched);
  }

  /** Logs a new quarantine and one that was extended by a further crash. */
  private void logBegin(RequestFingerprint fingerprint, long forMs) {
    List<CrashedRun> crashes = crashTracker.crashesOf(fingerprint);
    Integer countBefore = crashCounts.put(fingerprint, crashes.size());
    if (countBefore != null && countBefore == crashes.size()) {
      return;
    }
    log.write(
        "request_quarantined",
        "fingerprint={} crashes={} targets={} for_ms={}",
        fingerprint,
        crashes.size(),
        crashes.stream().map(run -> run.target().value()).collect(Collectors.joining(",")),
        forMs);
  }

  private void logEnd(RequestFingerprint fingerprint) {
    crashCounts.remove(fingerprint);
    log.write(
        "quarantine_ended",
        "fingerprint={} why={}",
        fingerprint,
        crashTracker.wasAnswered(fingerprint) ? "answered" : "time");
  }
}
