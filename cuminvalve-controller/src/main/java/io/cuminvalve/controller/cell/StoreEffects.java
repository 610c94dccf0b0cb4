package io.cuminvalve.controller.cell;

import io.cuminvalve.core.authority.ControllerEffect;
import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Carries out the effects of one cell that concern the store.
 *
 * <p>Called on the control thread; replies come back on it.
 *
 * @since 0.1
 */
final class StoreEffects {

  private static final byte[] NO_VALUE = new byte[0];
  private static final String NO_LEASE = "";

  private final CellPorts ports;
  private final CellId cell;
  private final CellObserver observer;
  private final Consumer<StoreReply> replies;
  private Optional<StoreLeaseId> lease = Optional.empty();
  private Optional<String> holderName = Optional.empty();

  StoreEffects(CellPorts ports, CellId cell, CellObserver observer, Consumer<StoreReply> replies) {
    this.ports = ports;
    this.cell = cell;
    this.observer = observer;
    this.replies = replies;
  }

  /** Returns false if the effect does not concern the store. */
  boolean perform(ControllerEffect effect) {
    if (effect instanceof ControllerEffect.StoreRead read) {
      read(read);
    } else if (effect instanceof ControllerEffect.StoreWrite write) {
      write(write);
    } else if (effect instanceof ControllerEffect.StoreWatch watch) {
      watch(watch);
    } else if (effect instanceof ControllerEffect.LeaseGrant grant) {
      createLease(grant);
    } else if (effect instanceof ControllerEffect.LeaseKeepAlive keepAlive) {
      keepAlive(keepAlive);
    } else {
      return false;
    }
    return true;
  }

  Optional<String> holderName() {
    return holderName;
  }

  CompletableFuture<Void> releaseLease() {
    if (lease.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return ports.store().endLease(lease.get()).thenApply(ignored -> null);
  }

  private void read(ControllerEffect.StoreRead effect) {
    ports
        .store()
        .read(effect.key())
        .thenAccept(
            result -> {
              observer.onStoreOutcome(cell, "read", result.outcome());
              reply(effect.operationId(), effect.key(), map(result.outcome()), result.value());
            });
  }

  private void write(ControllerEffect.StoreWrite effect) {
    Optional<StoreLeaseId> tiedTo =
        effect.leaseId().isEmpty()
            ? Optional.empty()
            : Optional.of(new StoreLeaseId(effect.leaseId()));
    ports
        .store()
        .write(effect.key(), effect.value(), effect.expectedRevision(), tiedTo)
        .thenAccept(
            result -> {
              observer.onStoreOutcome(cell, "write", result.outcome());
              reply(StoreReply.of(effect.operationId(), map(result.outcome()), result.revision()));
            });
  }

  private void watch(ControllerEffect.StoreWatch effect) {
    ports
        .store()
        .watch(effect.key(), effect.afterRevision(), effect.waitMs())
        .thenAccept(
            result -> {
              boolean changed = result.event() == WatchResult.Event.CHANGED;
              StoreOutcome outcome = changed ? StoreOutcome.DONE : StoreOutcome.UNAVAILABLE;
              reply(effect.operationId(), effect.key(), outcome, result.value());
            });
  }

  private void createLease(ControllerEffect.LeaseGrant effect) {
    ports
        .store()
        .createLease(effect.ttlMs())
        .thenAccept(
            result -> {
              observer.onStoreOutcome(cell, "createLease", result.outcome());
              String id = result.lease().map(StoreLeaseId::value).orElse(NO_LEASE);
              ports.control().execute(() -> lease = result.lease().or(() -> lease));
              reply(new StoreReply(effect.operationId(), map(result.outcome()), NO_VALUE, 0, id));
            });
  }

  private void keepAlive(ControllerEffect.LeaseKeepAlive effect) {
    ports
        .store()
        .keepAlive(new StoreLeaseId(effect.leaseId()))
        .thenAccept(
            outcome -> {
              observer.onStoreOutcome(cell, "keepAlive", outcome);
              reply(StoreReply.of(effect.operationId(), map(outcome), 0));
            });
  }

  private void reply(
      long operationId, String key, StoreOutcome outcome, Optional<StoreValue> value) {
    byte[] bytes = value.map(StoreValue::value).orElse(NO_VALUE);
    long revision = value.map(StoreValue::revision).orElse(0L);
    if (value.isPresent() && key.equals(StoreKeys.term(cell))) {
      ports.control().execute(() -> rememberHolder(bytes));
    }
    reply(new StoreReply(operationId, outcome, bytes, revision, NO_LEASE));
  }

  private void reply(StoreReply reply) {
    ports.control().execute(() -> replies.accept(reply));
  }

  private void rememberHolder(byte[] term) {
    try {
      holderName = Optional.of(ports.codec().decodeTerm(term).holder().value());
    } catch (CodedException malformed) {
      holderName = Optional.empty();
    }
  }

  private static StoreOutcome map(io.cuminvalve.ports.store.StoreOutcome outcome) {
    return switch (outcome) {
      case DONE -> StoreOutcome.DONE;
      case CONFLICT -> StoreOutcome.CONFLICT;
      case UNKNOWN -> StoreOutcome.UNKNOWN;
      case UNAVAILABLE -> StoreOutcome.UNAVAILABLE;
    };
  }
}
