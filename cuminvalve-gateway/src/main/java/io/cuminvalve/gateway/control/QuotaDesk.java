package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.LimitUpdate;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.core.quota.LimitReport;
import io.cuminvalve.core.quota.QuotaIssuer;
import io.cuminvalve.gateway.traffic.TargetQuotas;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Lets the fleet know which targets name a limit, and has the holder of the term give out what they
 * take.
 *
 * <p>Limits are known to all by a {@link NewsExchange}. For the control thread.
 */
final class QuotaDesk implements NewsExchange.Knowledge<LimitUpdate> {

  /** Whom a gateway tells. */
  interface Audience extends FleetAudience {

    /** Returns how many gateways follow this one, the holder. */
    int followers();
  }

  /**
   * For how long a gateway that is silent still counts: it may be cut off from the holder alone,
   * and go on with its own small part.
   */
  private static final long SILENT_MS = 10_000;

  private static final int MOST_GATEWAYS = 2_048;

  private final String process;
  private final TargetQuotas quotas;
  private final Audience audience;
  private final NewsExchange<LimitUpdate> exchange;
  private final MillisClock clock;
  private final Map<String, Long> heardMs = new HashMap<>();
  private Optional<QuotaIssuer> issuer = Optional.empty();
  private int inheritedGateways;
  private long gainedMs;

  QuotaDesk(String process, TargetQuotas quotas, Audience audience, MillisClock clock) {
    this.process = process;
    this.quotas = quotas;
    this.audience = audience;
    this.exchange = new NewsExchange<>(this, audience);
    this.clock = clock;
  }

  /** This gateway holds the term now; there were so many gateways, as far as it has heard. */
  void onGained(int gateways) {
    inheritedGateways = gateways;
    gainedMs = clock.nowMs();
    QuotaIssuer next = new QuotaIssuer();
    next.setLimits(quotas.limits(), gainedMs);
    issuer = Optional.of(next);
  }

  /** This gateway holds the term no longer. */
  void onLost() {
    issuer = Optional.empty();
    heardMs.clear();
  }

  /** The holder, unless it is this gateway, and its deputies are these. */
  void onConfidants(Optional<String> holderAddress, Collection<String> deputyAddresses) {
    exchange.onConfidants(holderAddress, deputyAddresses);
  }

  /** This gateway has seen the limits of targets begin, change or end. */
  void onSeen(List<TargetId> targets) {
    takeEffect(targets);
    exchange.tellConfidants(new LimitUpdate(false, quotas.reports(targets)));
  }

  /** Another process tells what it knows. */
  void onNews(LimitUpdate news, Consumer<FleetMessage> sender) {
    takeEffect(quotas.merge(news.reports()));
    if (news.complete()) {
      exchange.onComplete(news, sender);
    }
  }

  @Override
  public Optional<LimitUpdate> lackedBy(LimitUpdate told) {
    Map<TargetId, LimitReport> known = new HashMap<>();
    told.reports().forEach(report -> known.put(report.target(), report));
    List<LimitReport> lacking = new ArrayList<>();
    for (LimitReport own : quotas.reports()) {
      LimitReport other = known.get(own.target());
      boolean same = other == null ? !own.isLimited() : other.perS() == own.perS();
      if (!same) {
        lacking.add(own);
      }
    }
    return lacking.isEmpty() ? Optional.empty() : Optional.of(new LimitUpdate(false, lacking));
  }

  private void takeEffect(List<TargetId> changed) {
    if (changed.isEmpty() || issuer.isEmpty()) {
      return;
    }
    issuer.get().setLimits(quotas.limits(), clock.nowMs());
    audience.tellAll(new LimitUpdate(false, quotas.reports(changed)));
  }

  /** Another process says hello: which limits it knows, in short. */
  void onHello(String sender, long digest, Consumer<FleetMessage> channel) {
    if (issuer.isPresent() && (heardMs.size() < MOST_GATEWAYS || heardMs.containsKey(sender))) {
      heardMs.put(sender, clock.nowMs());
    }
    exchange.onDigest(digest, channel);
  }

  /** Returns which limits this process knows, in short; 0 if none. */
  @Override
  public long digest() {
    return quotas.digest();
  }

  @Override
  public LimitUpdate complete() {
    return new LimitUpdate(true, quotas.reports());
  }

  /** This gateway has requests for a target with a limit. */
  void ask(QuotaRequest request) {
    if (issuer.isPresent()) {
      onRequest(process, request, this::onOwnReply);
    } else {
      exchange.tellHolder(request);
    }
  }

  private void onOwnReply(FleetMessage message) {
    if (message instanceof QuotaReply reply) {
      quotas.onReply(reply);
    }
  }

  /** A gateway asks this one, the holder, how many requests it may send. */
  void onRequest(String gateway, QuotaRequest request, Consumer<FleetMessage> sender) {
    if (issuer.isEmpty()) {
      return;
    }
    LimitReport limit = request.limit();
    takeEffect(quotas.merge(List.of(limit)));
    QuotaIssuer giving = issuer.get();
    giving.setShare(audience.followers() + 1, fleetSize());
    giving
        .ask(
            gateway,
            limit.target(),
            request.priority(),
            request.wanted(),
            request.ahead(),
            clock.nowMs())
        .ifPresentOrElse(
            grant -> sender.accept(new QuotaReply(limit.target(), request.priority(), grant)),
            () -> sender.accept(new LimitUpdate(false, quotas.reports(List.of(limit.target())))));
  }

  private int fleetSize() {
    long nowMs = clock.nowMs();
    heardMs.values().removeIf(atMs -> nowMs - atMs > SILENT_MS);
    int inherited = nowMs - gainedMs > SILENT_MS ? 0 : inheritedGateways;
    return Math.max(inherited, heardMs.size() + 1);
  }
}
