package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.DepartureLedger;
import io.cuminvalve.core.fleet.DepartureReport;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.DepartureUpdate;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Lets the fleet know which targets have said in an answer that they leave.
 *
 * <p>The first gateway that hears it tells all others by a {@link NewsExchange}: the registry may
 * tell it much later, or never. For the control thread.
 */
final class DepartureDesk implements NewsExchange.Knowledge<DepartureUpdate> {

  private final DepartureLedger ledger = new DepartureLedger();
  private final FleetAudience audience;
  private final NewsExchange<DepartureUpdate> exchange;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Consumer<Set<TargetId>> onChange;

  /**
   * Creates a desk that knows of no departure.
   *
   * @param audience whom this gateway tells; reaches nobody but the holder's followers; not null
   * @param clock the time; not null
   * @param log takes decisions; not null
   * @param onChange takes all runs that leave, after each change; not null
   */
  DepartureDesk(
      FleetAudience audience,
      MillisClock clock,
      DecisionLog log,
      Consumer<Set<TargetId>> onChange) {
    this.audience = audience;
    this.exchange = new NewsExchange<>(this, audience);
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
  }

  /** A target has said to this gateway that it leaves. */
  void onSeen(TargetId target) {
    if (ledger.add(target, clock.nowMs())) {
      log.write("target_leaving", "target={} source=answer", target);
      takeEffect(List.of(target));
      exchange.tellConfidants(newsOf(List.of(target)));
    }
  }

  /** Another process tells what it knows. */
  void onNews(DepartureUpdate news, Consumer<FleetMessage> sender) {
    Set<TargetId> heard = new HashSet<>();
    for (DepartureReport report : news.reports()) {
      if (ledger.merge(report, clock.nowMs())) {
        heard.add(report.target());
        log.write("target_leaving", "target={} source=heard", report.target());
      }
    }
    if (!heard.isEmpty()) {
      takeEffect(heard);
    }
    if (news.complete()) {
      exchange.onComplete(news, sender);
    }
  }

  /** Followers hear of it, if this gateway holds the term; else it has none. */
  private void takeEffect(Collection<TargetId> changed) {
    onChange.accept(ledger.targets());
    audience.tellAll(newsOf(changed));
  }

  private DepartureUpdate newsOf(Collection<TargetId> targets) {
    return new DepartureUpdate(false, ledger.reports(targets, clock.nowMs()));
  }

  /** Another process says hello, and in short which departures it knows. */
  void onDigest(long digest, Consumer<FleetMessage> sender) {
    exchange.onDigest(digest, sender);
  }

  /** The holder, unless it is this gateway, and its deputies are these. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputies) {
    exchange.onConfidants(holderAddress, deputies);
  }

  /** Forgets runs that have long been gone. */
  void forget(Predicate<TargetId> registered) {
    if (ledger.forget(registered, clock.nowMs())) {
      onChange.accept(ledger.targets());
    }
  }

  @Override
  public long digest() {
    return ledger.digest();
  }

  @Override
  public DepartureUpdate complete() {
    return new DepartureUpdate(true, ledger.reports(ledger.targets(), clock.nowMs()));
  }

  @Override
  public Optional<DepartureUpdate> lackedBy(DepartureUpdate told) {
    Set<TargetId> lacking = new HashSet<>(ledger.targets());
    told.reports().forEach(report -> lacking.remove(report.target()));
    return lacking.isEmpty() ? Optional.empty() : Optional.of(newsOf(lacking));
  }
}
