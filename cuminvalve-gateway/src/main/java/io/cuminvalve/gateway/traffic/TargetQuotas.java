package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.core.quota.LimitLedger;
import io.cuminvalve.core.quota.LimitReport;
import io.cuminvalve.core.quota.QuotaShare;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The limits that targets name in their answers, and what this gateway may send to such targets.
 *
 * <p>Safe for use by several threads. Listeners are called without its lock.
 *
 * @since 0.2
 */
public final class TargetQuotas {

  /** Pause between two lines on the requests that this gateway sent to a target with a limit. */
  private static final long REPORT_MS = 4_000;

  /** Assumed until a holder has told how many gateways there are: a small part is safe. */
  private static final int UNKNOWN_GATEWAYS = 100;

  private final MillisClock clock;
  private final DecisionLog log;
  private final Timers timers;
  private final RandomGenerator random;
  private final LimitLedger ledger = new LimitLedger();
  private final Map<TargetId, Quota> quotas = new HashMap<>();
  private int gateways = UNKNOWN_GATEWAYS;
  private volatile boolean anyLimit;
  private volatile Consumer<List<TargetId>> onLimit = targets -> {};
  private volatile Consumer<QuotaRequest> onQuotaRequest = request -> {};
  private volatile Consumer<ServiceId> onUsable = service -> {};

  TargetQuotas(MillisClock clock, DecisionLog log, Timers timers, RandomGenerator random) {
    this.clock = clock;
    this.log = log;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Sets who is told of targets whose limit this gateway has seen begin, change or end.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onLimit(Consumer<List<TargetId>> listener) {
    onLimit = listener;
  }

  /**
   * Sets who asks the holder of the term.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onQuotaRequest(Consumer<QuotaRequest> listener) {
    onQuotaRequest = listener;
  }

  /** Sets who looks again at the requests that wait for a target of a service. */
  void onUsable(Consumer<ServiceId> listener) {
    onUsable = listener;
  }

  /**
   * Takes an answer of a target.
   *
   * @param target the run of the target; not null
   * @param perS the limit that it names; requests a second; empty if none
   * @param sentMs when its request was sent; a time of the clock; milliseconds
   */
  void onAnswer(TargetId target, OptionalDouble perS, long sentMs) {
    if (perS.isEmpty() && !anyLimit) {
      return;
    }
    boolean news;
    synchronized (this) {
      long nowMs = clock.nowMs();
      news =
          perS.isPresent()
              ? ledger.onNamed(target, perS.getAsDouble(), nowMs)
              : ledger.onNotNamed(target, sentMs, nowMs);
    }
    if (news) {
      takeEffect(List.of(target), "answer");
      onLimit.accept(List.of(target));
    }
  }

  /**
   * Takes what another process knows.
   *
   * @param reports what it knows; not null
   * @return the targets of which that is news; never null
   */
  public List<TargetId> merge(Collection<LimitReport> reports) {
    List<TargetId> news = new ArrayList<>();
    synchronized (this) {
      for (LimitReport report : reports) {
        if (ledger.merge(report, clock.nowMs())) {
          news.add(report.target());
        }
      }
    }
    takeEffect(news, "heard");
    return news;
  }

  private void takeEffect(List<TargetId> changed, String source) {
    List<ServiceId> usable = new ArrayList<>();
    synchronized (this) {
      for (TargetId target : changed) {
        OptionalDouble perS = ledger.limitOf(target);
        Quota quota = quotas.get(target);
        if (perS.isPresent()) {
          log.write(
              "target_limit",
              "target={} limit_per_s={} source={}",
              target,
              perS.getAsDouble(),
              source);
        } else {
          log.write("target_limit_ended", "target={} source={}", target, source);
          quotas.remove(target);
        }
        if (quota != null && perS.isPresent()) {
          quota.share.setLimit(perS.getAsDouble());
        } else if (quota != null) {
          usable.add(quota.service);
        }
      }
      anyLimit = !ledger.limits().isEmpty();
    }
    usable.forEach(onUsable);
  }

  /**
   * Returns the limit of a target.
   *
   * @param target the run of the target; not null
   * @return requests a second from all gateways together; empty if it names none
   */
  public synchronized OptionalDouble limitOf(TargetId target) {
    return ledger.limitOf(target);
  }

  /**
   * Returns all limits.
   *
   * @return requests a second by target; never null
   */
  public synchronized Map<TargetId, Double> limits() {
    return ledger.limits();
  }

  /**
   * Returns what is known of all targets that name a limit, or did lately.
   *
   * @return never null
   */
  public synchronized List<LimitReport> reports() {
    return ledger.reports(ledger.targets(), clock.nowMs());
  }

  /**
   * Returns what is known of some targets.
   *
   * @param targets which ones; not null
   * @return never null
   */
  public synchronized List<LimitReport> reports(Collection<TargetId> targets) {
    return ledger.reports(targets, clock.nowMs());
  }

  /**
   * Returns the limits in short, to compare them with those of another process.
   *
   * @return 0 if there is none
   */
  public synchronized long digest() {
    return ledger.digest();
  }

  /**
   * Forgets targets that have long been gone.
   *
   * @param registered tells which targets are registered; not null
   */
  public void forget(Predicate<TargetId> registered) {
    if (!anyLimit) {
      return;
    }
    synchronized (this) {
      ledger.forget(registered, clock.nowMs());
      quotas.keySet().removeIf(target -> ledger.limitOf(target).isEmpty());
      anyLimit = !ledger.limits().isEmpty();
    }
  }

  /**
   * Notes how many gateways there are.
   *
   * @param count at least 1
   */
  public synchronized void setGateways(int count) {
    gateways = count;
  }

  /** Uses a permit to send one request. Asks the holder if none is left. */
  boolean take(FleetTarget target, int priority) {
    if (!anyLimit) {
      return true;
    }
    Optional<QuotaRequest> question;
    synchronized (this) {
      OptionalDouble perS = ledger.limitOf(target.id());
      if (perS.isEmpty()) {
        return true;
      }
      Quota quota = quotaOf(target, perS.getAsDouble());
      QuotaShare.Decision decision = quota.share.take(priority, gateways, clock.nowMs());
      if (decision == QuotaShare.Decision.TAKEN) {
        quota.onSent(clock.nowMs());
        return true;
      }
      question =
          decision == QuotaShare.Decision.ASK
              ? Optional.of(questionOf(target, priority, quota))
              : Optional.empty();
    }
    question.ifPresent(request -> ask(request, target.service()));
    return false;
  }

  private Quota quotaOf(FleetTarget target, double perS) {
    return quotas.computeIfAbsent(
        target.id(),
        id -> new Quota(id, target.service(), new QuotaShare(perS, random), clock.nowMs()));
  }

  private QuotaRequest questionOf(FleetTarget target, int priority, Quota quota) {
    LimitReport limit = ledger.reports(List.of(target.id()), clock.nowMs()).get(0);
    return new QuotaRequest(limit, priority, 1, quota.share.expectedSoon());
  }

  /** Requests wait for the answer; if none comes, they have to be looked at again. */
  private void ask(QuotaRequest request, ServiceId service) {
    onQuotaRequest.accept(request);
    timers.schedule(() -> onUsable.accept(service), QuotaShare.ANSWER_MS + 1);
  }

  /**
   * Takes the holder's answer.
   *
   * @param reply the answer; not null
   */
  public void onReply(QuotaReply reply) {
    Quota quota;
    synchronized (this) {
      quota = quotas.get(reply.target());
      if (quota != null) {
        quota.share.onGrant(reply.priority(), reply.grant(), clock.nowMs());
      }
    }
    if (quota != null) {
      onUsable.accept(quota.service);
    }
  }

  /** Tells for how long no request of a priority may be sent; empty if it may, or may soon. */
  OptionalLong refusedForMs(TargetId target, int priority) {
    if (!anyLimit) {
      return OptionalLong.empty();
    }
    synchronized (this) {
      Quota quota = quotas.get(target);
      return quota == null
          ? OptionalLong.empty()
          : quota.share.refusedForMs(priority, clock.nowMs());
    }
  }

  /** Refuses a request because of a target, and promises its caller a time. */
  synchronized TargetRefusal refuse(TargetId target, int priority) {
    Quota quota = quotas.get(target);
    long retryAfterMs = quota == null ? 1 : quota.share.promiseMs(priority, clock.nowMs());
    return TargetRefusal.forLimit(target, ledger.limitOf(target).orElse(0), retryAfterMs);
  }

  /** Tells whether a target names a limit. */
  boolean isLimited(TargetId target) {
    return anyLimit && limitOf(target).isPresent();
  }

  /** Returns how many targets name a limit. */
  synchronized int size() {
    return ledger.limits().size();
  }

  /** What this gateway has and sends of one limit. */
  private final class Quota {

    private final TargetId target;
    private final ServiceId service;
    private final QuotaShare share;
    private long sinceMs;
    private int sent;

    Quota(TargetId target, ServiceId service, QuotaShare share, long nowMs) {
      this.target = target;
      this.service = service;
      this.share = share;
      this.sinceMs = nowMs;
    }

    void onSent(long nowMs) {
      sent++;
      if (nowMs - sinceMs < REPORT_MS) {
        return;
      }
      log.write(
          "target_limit_used",
          "target={} limit_per_s={} sent={} in_ms={} alone={}",
          target,
          ledger.limitOf(target).orElse(0),
          sent,
          nowMs - sinceMs,
          share.isAlone());
      sent = 0;
      sinceMs = nowMs;
    }
  }
}
