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
 * Lets the fleet know under which requests targets end, and puts those in quarantine that end one
 * target after the other.
 *
 * <p>A request comes back at any gateway, so none of them sees enough alone. The holder of the term
 * and its deputies hear of every crash, everybody of requests under which two targets ended, by a
 * {@link NewsExchange}. For the control thread.
 */
final class CrashDesk implements NewsExchange.Knowledge<CrashUpdate> {

  /** Whom a gateway tells. */
  interface Audience extends FleetAudience {

    /** Tells whether this process holds the term. */
    boolean isHolder();

    /** Keeps, as the holder, what is in quarantine for a fleet that is lost whole. */
    void keep(CrashUpdate quarantined);
  }

  /** Seen by this gateway itself and kept for a holder to come; the oldest go first. */
  private static final int MOST_SEEN = 64;

  /** A permit is used within a second, and half a second later everybody knows how it went. */
  private static final long TRIAL_MS = 1_500;

  private final CrashTracker ledger;
  private final RequestQuarantine quarantine;
  private final Audience audience;
  private final NewsExchange<CrashUpdate> exchange;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Set<RequestFingerprint> seen = new LinkedHashSet<>();
  private final Map<RequestFingerprint, Long> trialsUntilMs = new HashMap<>();
  private Set<RequestFingerprint> watched = Set.of();
  private long keptDigest;
  private Map<RequestFingerprint, Long> refused = Map.of();
  private final Map<RequestFingerprint, Integer> crashCounts = new HashMap<>();

  CrashDesk(
      CrashTracker ledger,
      RequestQuarantine quarantine,
      Audience audience,
      MillisClock clock,
      DecisionLog log) {
    this.ledger = ledger;
    this.quarantine = quarantine;
    this.audience = audience;
    this.exchange = new NewsExchange<>(this, audience);
    this.clock = clock;
    this.log = log;
  }

  /** Targets have ended while they ran requests of this gateway. */
  void onCrashed(List<BrokenAttempt> attempts) {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> news = new LinkedHashSet<>();
    for (BrokenAttempt attempt : attempts) {
      log.write(
          "target_ended_under_request",
          "id={} fingerprint={} target={} sent_before_ms={} known_after_ms={}",
          attempt.attemptId(),
          attempt.identity(),
          attempt.target(),
          attempt.endedMs() - attempt.sentMs(),
          nowMs - attempt.endedMs());
      noteCrash(attempt.identity().content(), attempt.asCrash(), nowMs, news);
      noteCrash(attempt.identity().contentAndCaller(), attempt.asCrash(), nowMs, news);
    }
    takeEffect(news, Set.of());
  }

  private void noteCrash(
      RequestFingerprint fingerprint, CrashedRun run, long nowMs, Set<RequestFingerprint> news) {
    if (ledger.onCrash(fingerprint, run, nowMs)) {
      news.add(fingerprint);
    }
  }

  /** A request that is watched was answered through this gateway. */
  void onAnswered(RequestFingerprint fingerprint) {
    long nowMs = clock.nowMs();
    if (ledger.onAnswer(fingerprint, nowMs, nowMs)) {
      takeEffect(Set.of(fingerprint), Set.of());
    }
  }

  /** Another process tells what it knows. */
  void onNews(CrashUpdate news, Consumer<FleetMessage> sender) {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> heard = new LinkedHashSet<>();
    for (CrashReport report : news.reports()) {
      if (ledger.merge(report, nowMs)) {
        heard.add(report.fingerprint());
      }
    }
    takeEffect(Set.of(), heard);
    if (news.complete()) {
      exchange.onComplete(news, sender);
    }
  }

  @Override
  public Optional<CrashUpdate> lackedBy(CrashUpdate told) {
    Set<RequestFingerprint> lacking = new HashSet<>(watched);
    for (CrashReport report : told.reports()) {
      RequestFingerprint fingerprint = report.fingerprint();
      if (report.runs().size() >= ledger.crashesOf(fingerprint).size()) {
        lacking.remove(fingerprint);
      }
      if (!watched.contains(fingerprint) && ledger.wasAnswered(fingerprint)) {
        lacking.add(fingerprint);
      }
    }
    return lacking.isEmpty()
        ? Optional.empty()
        : Optional.of(new CrashUpdate(false, ledger.reports(lacking, clock.nowMs())));
  }

  /** This gateway has a request that is watched. */
  void onTrialWanted(RequestFingerprint fingerprint) {
    if (audience.isHolder()) {
      onTrialRequest(fingerprint, permit -> quarantine.permitTrial(fingerprint));
    } else {
      exchange.tellHolder(new TrialRequest(fingerprint));
    }
  }

  /** A gateway asks this one, the holder: one at a time gets a permit. */
  void onTrialRequest(RequestFingerprint fingerprint, Consumer<FleetMessage> sender) {
    long nowMs = clock.nowMs();
    trialsUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    if (!audience.isHolder() || trialsUntilMs.containsKey(fingerprint)) {
      return;
    }
    trialsUntilMs.put(fingerprint, nowMs + TRIAL_MS);
    sender.accept(new TrialPermit(fingerprint));
  }

  /** The holder permits this gateway one trial. */
  void onTrialPermit(RequestFingerprint fingerprint) {
    quarantine.permitTrial(fingerprint);
  }

  /** Another process says which requests it watches, in short. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    exchange.onDigest(digest, sender);
  }

  @Override
  public CrashUpdate complete() {
    return new CrashUpdate(true, ledger.reports(watched, clock.nowMs()));
  }

  /** Returns what this process knows of requests that it watches, in short; 0 if of none. */
  @Override
  public long digest() {
    refresh();
    return watched.stream().mapToLong(this::digestOf).sum();
  }

  private long digestOf(RequestFingerprint fingerprint) {
    return fingerprint.value() * ledger.crashesOf(fingerprint).size();
  }

  /** The holder and its deputies, as known now: new ones hear what this gateway saw itself. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputies) {
    Set<String> added = exchange.onConfidants(holderAddress, deputies);
    if (!added.isEmpty() && !seen.isEmpty()) {
      CrashUpdate all = new CrashUpdate(false, ledger.reports(seen, clock.nowMs()));
      added.forEach(address -> audience.tell(address, all));
    }
  }

  /** Takes changes into force, and tells those who have to know. */
  private void takeEffect(Set<RequestFingerprint> ownNews, Set<RequestFingerprint> heard) {
    if (ownNews.isEmpty() && heard.isEmpty()) {
      return;
    }
    final Set<RequestFingerprint> before = watched;
    refresh();
    Set<RequestFingerprint> own = new LinkedHashSet<>(ownNews);
    own.addAll(clearAnswered());
    remember(own);
    tellConfidants(own);
    if (audience.isHolder()) {
      Set<RequestFingerprint> spread = new LinkedHashSet<>(own);
      spread.addAll(heard);
      spread.removeIf(changed -> !before.contains(changed) && !watched.contains(changed));
      tellAll(spread);
      keepQuarantined();
    }
  }

  private void keepQuarantined() {
    long digest = refused.keySet().stream().mapToLong(this::digestOf).sum();
    if (digest != keptDigest) {
      keptDigest = digest;
      audience.keep(new CrashUpdate(false, ledger.reports(refused.keySet(), clock.nowMs())));
    }
  }

  /** This process holds the term now, and this is what the holder before it kept. */
  void onStored(CrashUpdate stored) {
    onNews(stored, message -> {});
    keepQuarantined();
  }

  private void tellConfidants(Set<RequestFingerprint> changed) {
    if (!changed.isEmpty()) {
      exchange.tellConfidants(new CrashUpdate(false, ledger.reports(changed, clock.nowMs())));
    }
  }

  private void tellAll(Set<RequestFingerprint> changed) {
    if (!changed.isEmpty()) {
      audience.tellAll(new CrashUpdate(false, ledger.reports(changed, clock.nowMs())));
    }
  }

  private void remember(Set<RequestFingerprint> changed) {
    seen.removeAll(changed);
    seen.addAll(changed);
    List<RequestFingerprint> inOrder = new ArrayList<>(seen);
    int tooMany = Math.max(0, inOrder.size() - MOST_SEEN);
    inOrder.subList(0, tooMany).forEach(seen::remove);
  }

  /** What has just come under suspicion may have been answered here a moment ago. */
  private Set<RequestFingerprint> clearAnswered() {
    long nowMs = clock.nowMs();
    Set<RequestFingerprint> cleared = new LinkedHashSet<>();
    for (RequestFingerprint fingerprint : watched) {
      quarantine
          .lastAnsweredMs(fingerprint)
          .ifPresent(
              atMs -> {
                if (ledger.onAnswer(fingerprint, atMs, nowMs)) {
                  cleared.add(fingerprint);
                }
              });
    }
    if (!cleared.isEmpty()) {
      refresh();
    }
    return cleared;
  }

  private void refresh() {
    long nowMs = clock.nowMs();
    watched = ledger.watched(nowMs);
    Map<RequestFingerprint, Long> now = ledger.quarantinedUntilMs(nowMs);
    now.forEach((fingerprint, untilMs) -> logBegin(fingerprint, untilMs - nowMs));
    refused.keySet().stream()
        .filter(fingerprint -> !now.containsKey(fingerprint))
        .forEach(this::logEnd);
    refused = now;
    quarantine.install(now, watched);
  }

  /** Writes a line for a new quarantine and for one that a further crash made longer. */
  private void logBegin(RequestFingerprint fingerprint, long forMs) {
    List<CrashedRun> crashes = ledger.crashesOf(fingerprint);
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
        ledger.wasAnswered(fingerprint) ? "answered" : "time");
  }
}
