package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.core.quota.ColdTargets;
import io.cuminvalve.core.quota.LimitReport;
import io.cuminvalve.core.quota.LocalQuota;
import io.cuminvalve.core.quota.TargetLimitTracker;
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
 * Tracks the rate limits that targets announce in their responses or have while they are cold, and
 * this gateway's share of them.
 *
 * <p>Thread-safe. Listeners are called without holding the lock.
 *
 * @since 0.2
 */
public final class TargetQuotas {

  /** Assumed until the holder has reported the number of gateways; a small share is safe. */
  private static final int ASSUMED_GATEWAYS = 100;

  private final MillisClock clock;
  private final DecisionLog log;
  private final Timers timers;
  private final RandomGenerator random;
  private final TargetLimitTracker limitTracker = new TargetLimitTracker();
  private final ColdTargets coldTargets = new ColdTargets();
  private final Map<TargetId, QuotaUse> quotas = new HashMap<>();
  private int gateways = ASSUMED_GATEWAYS;
  private volatile boolean anyLimit;
  private volatile Consumer<List<TargetId>> onLimit = targets -> {};
  private volatile Runnable onCold = () -> {};
  private volatile Consumer<QuotaRequest> onQuotaRequest = request -> {};
  private volatile Consumer<ServiceId> onUsable = service -> {};

  TargetQuotas(MillisClock clock, DecisionLog log, Timers timers, RandomGenerator random) {
    this.clock = clock;
    this.log = log;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Sets the listener for targets whose limit, as seen by this gateway, began, changed or ended.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onLimit(Consumer<List<TargetId>> listener) {
    onLimit = listener;
  }

  /**
   * Sets the listener for targets that have become cold.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onCold(Runnable listener) {
    onCold = listener;
  }

  /**
   * Limits the requests to a target while it is cold, as if it had announced that limit.
   *
   * @param target the run of the target; not null
   * @param service the service that it belongs to; not null
   * @param perS requests per second from all gateways together; above 0
   * @param coldMs for how long it is still cold; milliseconds
   */
  public void onCold(TargetId target, ServiceId service, double perS, long coldMs) {
    if (onReportedCold(target, perS, coldMs)) {
      log.write("target_cold", "target={} limit_per_s={} for_ms={}", target, perS, coldMs);
      onCold.run();
      timers.schedule(() -> onWarm(service), coldMs + 1);
    }
  }

  /**
   * Limits the requests to a target that another gateway considers cold.
   *
   * @param target the run of the target; not null
   * @param perS requests per second from all gateways together; above 0
   * @param coldMs for how long it is still cold; milliseconds
   * @return whether its limit began or lasts longer than known
   */
  public synchronized boolean onReportedCold(TargetId target, double perS, long coldMs) {
    long nowMs = clock.nowMs();
    boolean changes = coldTargets.onCold(target, perS, nowMs + coldMs, nowMs);
    anyLimit |= changes;
    return changes;
  }

  /**
   * Returns for how long a target is still cold.
   *
   * @param target the run of the target; not null
   * @return milliseconds; 0 if it is warm, or needs no limit while it is cold
   */
  public synchronized long coldLeftMs(TargetId target) {
    return coldTargets.leftMs(target, clock.nowMs());
  }

  /** Serves the requests that wait for quota of a target that is warm now. */
  private void onWarm(ServiceId service) {
    removeEnded();
    onUsable.accept(service);
  }

  private synchronized void removeEnded() {
    coldTargets.removeEnded(clock.nowMs());
    quotas.keySet().removeIf(target -> limitOf(target).isEmpty());
    anyLimit = !limitTracker.limits().isEmpty() || !coldTargets.isEmpty();
  }

  /**
   * Sets the listener that sends quota requests to the holder of the term.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onQuotaRequest(Consumer<QuotaRequest> listener) {
    onQuotaRequest = listener;
  }

  /** Sets the listener that serves the waiting requests of a service. */
  void onUsable(Consumer<ServiceId> listener) {
    onUsable = listener;
  }

  /**
   * Updates the limit of a target from one of its responses.
   *
   * @param target the run of the target; not null
   * @param perS the announced limit in requests per second; empty if none
   * @param sentMs when the request was sent; a time of the clock in milliseconds
   */
  void onAnswer(TargetId target, OptionalDouble perS, long sentMs) {
    if (perS.isEmpty() && !anyLimit) {
      return;
    }
    boolean changes;
    synchronized (this) {
      long nowMs = clock.nowMs();
      changes =
          perS.isPresent()
              ? limitTracker.onNamed(target, perS.getAsDouble(), nowMs)
              : limitTracker.onNotNamed(target, sentMs, nowMs);
    }
    if (changes) {
      applyChanges(List.of(target), "answer");
      onLimit.accept(List.of(target));
    }
  }

  /**
   * Merges the limits that another process reports.
   *
   * @param reports the reported limits; not null
   * @return the targets whose limit changed; never null
   */
  public List<TargetId> merge(Collection<LimitReport> reports) {
    List<TargetId> changes = new ArrayList<>();
    synchronized (this) {
      for (LimitReport report : reports) {
        if (limitTracker.merge(report, clock.nowMs())) {
          changes.add(report.target());
        }
      }
    }
    applyChanges(changes, "heard");
    return changes;
  }

  private void applyChanges(List<TargetId> changed, String source) {
    List<ServiceId> usable = new ArrayList<>();
    synchronized (this) {
      for (TargetId target : changed) {
        OptionalDouble perS = limitTracker.limitOf(target);
        OptionalDouble current = limitOf(target);
        QuotaUse quota = quotas.get(target);
        if (perS.isPresent()) {
          log.write(
              "target_limit",
              "target={} limit_per_s={} source={}",
              target,
              perS.getAsDouble(),
              source);
        } else {
          log.write("target_limit_ended", "target={} source={}", target, source);
        }
        if (quota != null && current.isPresent()) {
          quota.localQuota().setLimit(current.getAsDouble());
        } else if (quota != null) {
          usable.add(quota.service());
        }
      }
      removeEnded();
    }
    usable.forEach(onUsable);
  }

  /**
   * Returns the limit of a target, the lower one if it is cold and has announced one, too.
   *
   * @param target the run of the target; not null
   * @return requests per second from all gateways together; empty if it has none
   */
  public synchronized OptionalDouble limitOf(TargetId target) {
    OptionalDouble announced = limitTracker.limitOf(target);
    OptionalDouble cold = coldTargets.limitOf(target, clock.nowMs());
    if (announced.isEmpty() || cold.isEmpty()) {
      return announced.isPresent() ? announced : cold;
    }
    return OptionalDouble.of(Math.min(announced.getAsDouble(), cold.getAsDouble()));
  }

  /**
   * Returns all limits.
   *
   * @return requests per second by target; never null
   */
  public synchronized Map<TargetId, Double> limits() {
    Map<TargetId, Double> limits = coldTargets.limits(clock.nowMs());
    limitTracker.limits().forEach((target, perS) -> limits.merge(target, perS, Math::min));
    return limits;
  }

  /**
   * Returns reports on all targets that have a limit or had one recently.
   *
   * @return never null
   */
  public synchronized List<LimitReport> reports() {
    return limitTracker.reports(limitTracker.targets(), clock.nowMs());
  }

  /**
   * Returns reports on the given targets.
   *
   * @param targets the targets; not null
   * @return never null
   */
  public synchronized List<LimitReport> reports(Collection<TargetId> targets) {
    return limitTracker.reports(targets, clock.nowMs());
  }

  /**
   * Returns a digest of the limits for comparison with another process.
   *
   * @return 0 if there is none
   */
  public synchronized long digest() {
    return limitTracker.digest();
  }

  /**
   * Removes targets that have been unregistered for long.
   *
   * @param registered returns whether a target is registered; not null
   */
  public void forget(Predicate<TargetId> registered) {
    if (!anyLimit) {
      return;
    }
    synchronized (this) {
      limitTracker.forget(registered, clock.nowMs());
      removeEnded();
    }
  }

  /**
   * Sets the number of gateways.
   *
   * @param count at least 1
   */
  public synchronized void setGateways(int count) {
    gateways = count;
  }

  /** Takes a permit to send one request; requests quota from the holder if none is left. */
  boolean take(FleetTarget target, int priority) {
    if (!anyLimit) {
      return true;
    }
    Optional<QuotaRequest> quotaRequest;
    synchronized (this) {
      OptionalDouble perS = limitOf(target.id());
      if (perS.isEmpty()) {
        return true;
      }
      QuotaUse quota = quotaOf(target, perS.getAsDouble());
      LocalQuota.Decision decision = quota.localQuota().take(priority, gateways, clock.nowMs());
      if (decision == LocalQuota.Decision.TAKEN) {
        quota.onSent(perS.getAsDouble(), clock.nowMs());
        return true;
      }
      quotaRequest =
          decision == LocalQuota.Decision.ASK
              ? Optional.of(newQuotaRequest(target, priority, quota))
              : Optional.empty();
    }
    quotaRequest.ifPresent(request -> requestQuota(request, target.service()));
    return false;
  }

  private QuotaUse quotaOf(FleetTarget target, double perS) {
    return quotas.computeIfAbsent(
        target.id(),
        id -> new QuotaUse(id, target.service(), new LocalQuota(perS, random), log, clock.nowMs()));
  }

  private QuotaRequest newQuotaRequest(FleetTarget target, int priority, QuotaUse quota) {
    long nowMs = clock.nowMs();
    int ahead = quota.localQuota().expectedRequests();
    if (limitTracker.limitOf(target.id()).isPresent()) {
      LimitReport announced = limitTracker.reports(List.of(target.id()), nowMs).get(0);
      return new QuotaRequest(announced, priority, 1, ahead, 0);
    }
    LimitReport cold =
        new LimitReport(target.id(), coldTargets.limitOf(target.id(), nowMs).orElseThrow(), 0);
    return new QuotaRequest(cold, priority, 1, ahead, coldTargets.leftMs(target.id(), nowMs));
  }

  /** Requests quota, and serves the waiting requests again even if no reply comes. */
  private void requestQuota(QuotaRequest request, ServiceId service) {
    onQuotaRequest.accept(request);
    timers.schedule(() -> onUsable.accept(service), LocalQuota.ANSWER_MS + 1);
  }

  /**
   * Handles the holder's reply to a quota request.
   *
   * @param reply the reply; not null
   */
  public void onReply(QuotaReply reply) {
    QuotaUse quota;
    synchronized (this) {
      quota = quotas.get(reply.target());
      if (quota != null) {
        quota.localQuota().onGrant(reply.priority(), reply.grant(), clock.nowMs());
      }
    }
    if (quota != null) {
      onUsable.accept(quota.service());
    }
  }

  /**
   * Returns for how many milliseconds no request of a priority may be sent; empty if one may be
   * sent now or soon.
   */
  OptionalLong refusedForMs(TargetId target, int priority) {
    if (!anyLimit) {
      return OptionalLong.empty();
    }
    synchronized (this) {
      QuotaUse quota = quotas.get(target);
      return quota == null
          ? OptionalLong.empty()
          : quota.localQuota().refusedForMs(priority, clock.nowMs());
    }
  }

  /** Refuses a request because of a target's limit, with a time at which to retry. */
  synchronized TargetRefusal refuse(TargetId target, int priority) {
    QuotaUse quota = quotas.get(target);
    long retryAfterMs =
        quota == null ? 1 : quota.localQuota().nextRetryAfterMs(priority, clock.nowMs());
    return TargetRefusal.forLimit(target, limitOf(target).orElse(0), retryAfterMs);
  }

  /** Returns whether a target has a limit. */
  boolean isLimited(TargetId target) {
    return anyLimit && limitOf(target).isPresent();
  }

  /** Returns the number of targets with a limit. */
  synchronized int size() {
    return limits().size();
  }
}
