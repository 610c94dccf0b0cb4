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
 * Replicates the rate limits that targets announce, and lets the holder of the term grant quota.
 *
 * <p>A {@link StateExchange} replicates the limits to all gateways. Confined to the control thread.
 */
final class QuotaCoordinator implements StateExchange.LocalState<LimitUpdate> {

  /** The gateways that can be sent messages. */
  interface Peers extends FleetMessenger {

    /** Returns how many gateways follow this one, the holder. */
    int followers();
  }

  /**
   * How long a silent gateway still counts. It may be cut off from the holder only and continue
   * with its own small share.
   */
  private static final long GATEWAY_EXPIRY_MS = 10_000;

  private static final int MAX_TRACKED_GATEWAYS = 2_048;

  private final String process;
  private final TargetQuotas quotas;
  private final Peers peers;
  private final StateExchange<LimitUpdate> exchange;
  private final MillisClock clock;
  private final Map<String, Long> lastHelloMs = new HashMap<>();
  private Optional<QuotaIssuer> issuer = Optional.empty();
  private int initialGateways;
  private long gainedMs;

  QuotaCoordinator(String process, TargetQuotas quotas, Peers peers, MillisClock clock) {
    this.process = process;
    this.quotas = quotas;
    this.peers = peers;
    this.exchange = new StateExchange<>(this, peers);
    this.clock = clock;
  }

  /** Starts granting quota as the holder, with the last known number of gateways. */
  void onGained(int gateways) {
    initialGateways = gateways;
    gainedMs = clock.nowMs();
    QuotaIssuer next = new QuotaIssuer();
    next.setLimits(quotas.limits(), gainedMs);
    issuer = Optional.of(next);
  }

  /** Stops granting quota, because this gateway no longer holds the term. */
  void onLost() {
    issuer = Optional.empty();
    lastHelloMs.clear();
  }

  /** Sets the addresses of the holder, empty if it is this gateway, and of its deputies. */
  void onHolderAndDeputies(Optional<String> holderAddress, Collection<String> deputies) {
    exchange.onHolderAndDeputies(holderAddress, deputies);
  }

  /** Processes targets that have become cold; each gateway finds these by itself. */
  void onCold() {
    issuer.ifPresent(granting -> granting.setLimits(quotas.limits(), clock.nowMs()));
  }

  /** Processes limits that this gateway saw begin, change or end. */
  void onSeen(List<TargetId> targets) {
    applyLimits(targets);
    exchange.sendToHolderAndDeputies(new LimitUpdate(false, quotas.reports(targets)));
  }

  /** Processes limits sent by another process. */
  void onUpdate(LimitUpdate update, Consumer<FleetMessage> sender) {
    applyLimits(quotas.merge(update.reports()));
    if (update.complete()) {
      exchange.onComplete(update, sender);
    }
  }

  @Override
  public Optional<LimitUpdate> missingFrom(LimitUpdate received) {
    Map<TargetId, LimitReport> known = new HashMap<>();
    received.reports().forEach(report -> known.put(report.target(), report));
    List<LimitReport> missing = new ArrayList<>();
    for (LimitReport local : quotas.reports()) {
      LimitReport remote = known.get(local.target());
      boolean same = remote == null ? !local.isLimited() : remote.perS() == local.perS();
      if (!same) {
        missing.add(local);
      }
    }
    return missing.isEmpty() ? Optional.empty() : Optional.of(new LimitUpdate(false, missing));
  }

  private void applyLimits(List<TargetId> changed) {
    if (changed.isEmpty() || issuer.isEmpty()) {
      return;
    }
    issuer.get().setLimits(quotas.limits(), clock.nowMs());
    peers.sendToFollowers(new LimitUpdate(false, quotas.reports(changed)));
  }

  /** Processes the digest of limits in the hello of another process. */
  void onHello(String sender, long digest, Consumer<FleetMessage> channel) {
    if (issuer.isPresent()
        && (lastHelloMs.size() < MAX_TRACKED_GATEWAYS || lastHelloMs.containsKey(sender))) {
      lastHelloMs.put(sender, clock.nowMs());
    }
    exchange.onDigest(digest, channel);
  }

  /** Returns a digest of the known limits; 0 if there is none. */
  @Override
  public long digest() {
    return quotas.digest();
  }

  @Override
  public LimitUpdate complete() {
    return new LimitUpdate(true, quotas.reports());
  }

  /** Requests quota for a target with a limit. */
  void ask(QuotaRequest request) {
    if (issuer.isPresent()) {
      onRequest(process, request, this::onOwnReply);
    } else {
      exchange.sendToHolder(request);
    }
  }

  private void onOwnReply(FleetMessage message) {
    if (message instanceof QuotaReply reply) {
      quotas.onReply(reply);
    }
  }

  /** Processes the quota request of a gateway, as the holder. */
  void onRequest(String gateway, QuotaRequest request, Consumer<FleetMessage> sender) {
    if (issuer.isEmpty()) {
      return;
    }
    LimitReport limit = request.limit();
    if (request.coldMs() > 0) {
      quotas.onReportedCold(limit.target(), limit.perS(), request.coldMs());
      onCold();
    } else {
      applyLimits(quotas.merge(List.of(limit)));
    }
    QuotaIssuer granting = issuer.get();
    granting.setShare(peers.followers() + 1, fleetSize());
    granting
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
    lastHelloMs.values().removeIf(atMs -> nowMs - atMs > GATEWAY_EXPIRY_MS);
    int initial = nowMs - gainedMs > GATEWAY_EXPIRY_MS ? 0 : initialGateways;
    return Math.max(initial, lastHelloMs.size() + 1);
  }
}
