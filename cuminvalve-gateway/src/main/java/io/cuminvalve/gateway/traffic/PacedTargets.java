package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.pace.PaceStep;
import io.cuminvalve.core.pace.TargetPaces;
import io.cuminvalve.core.sharing.ScarcePlaces;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Tells {@link TargetPaces} which targets with scarce places there are and how they answer, and
 * logs its steps.
 *
 * <p>Load: many targets start at once, and many requests a second ask for their shares. Without a
 * paced target no lock is taken. Thread-safe.
 */
final class PacedTargets implements TargetPace {

  /** Weight of the newest answer in the mean of a route. */
  private static final double EWMA_WEIGHT = 0.05;

  private final RoutingState state;
  private final MillisClock clock;
  private final DecisionLog log;
  private final TargetPaces paces;
  private final Map<String, Double> meanTimeMsByRoute = new HashMap<>();
  private Collection<FleetTarget> lastTargets = List.of();
  private int lastProcesses;
  private volatile boolean anyPaced;

  PacedTargets(RoutingState state, MillisClock clock, RandomGenerator random, DecisionLog log) {
    this.state = state;
    this.clock = clock;
    this.log = log;
    this.paces = new TargetPaces(random);
    state.onChange(this::onRoutingChanged);
  }

  @Override
  public double shareOf(FleetTarget target) {
    if (!anyPaced) {
      return 1;
    }
    synchronized (this) {
      return paces.drawShare(target.id(), clock.nowMs());
    }
  }

  /** Records the outcome of an attempt and its time; must not be called under a lock. */
  void onOutcome(FleetTarget target, String route, AttemptOutcome outcome, long tookMs) {
    List<PaceStep> steps;
    synchronized (this) {
      long nowMs = clock.nowMs();
      switch (outcome) {
        case ANSWERED -> onAnswer(target, route, tookMs, nowMs);
        case FAILED -> paces.onRefused(target.id(), nowMs);
        case NO_ANSWER -> paces.onMissing(target.id(), nowMs);
        default -> {
          // An abandoned attempt says nothing about the target.
        }
      }
      steps = takeSteps();
    }
    write(steps);
  }

  /** The mean is the one of targets that are not paced. */
  private void onAnswer(FleetTarget target, String route, long tookMs, long nowMs) {
    double mean = meanTimeMsByRoute.getOrDefault(route, Math.max(1.0, tookMs));
    if (anyPaced && paces.shareOf(target.id(), nowMs) < 1) {
      paces.onAnswer(target.id(), tookMs / mean, nowMs);
    } else {
      meanTimeMsByRoute.put(route, Math.max(1.0, mean + EWMA_WEIGHT * (tookMs - mean)));
    }
  }

  /** Returns the number of paced targets. */
  synchronized int size() {
    return paces.size();
  }

  private void onRoutingChanged() {
    List<PaceStep> steps;
    synchronized (this) {
      RoutingSnapshot snapshot = state.current();
      if (snapshot.targets() == lastTargets && snapshot.processes() == lastProcesses) {
        return;
      }
      lastTargets = snapshot.targets();
      lastProcesses = snapshot.processes();
      paces.onTargets(sharedTargets(snapshot), lastProcesses, clock.nowMs());
      steps = takeSteps();
    }
    write(steps);
  }

  /** Few gateways do not flood a target: their limits start small beside its places. */
  private static List<FleetTarget> sharedTargets(RoutingSnapshot snapshot) {
    Set<ServiceId> services = new HashSet<>();
    snapshot.targets().forEach(target -> services.add(target.service()));
    return services.stream()
        .flatMap(service -> snapshot.ready(service).stream())
        .filter(target -> ScarcePlaces.isScarce(target.slots(), snapshot.processes()))
        .toList();
  }

  private List<PaceStep> takeSteps() {
    anyPaced = paces.size() > 0;
    return paces.takeSteps();
  }

  private void write(List<PaceStep> steps) {
    for (PaceStep step : steps) {
      log.write(
          "target_pace",
          "target={} share={} reason={}",
          step.target(),
          String.format(Locale.ROOT, "%.3f", step.share()),
          step.reason());
    }
  }
}
