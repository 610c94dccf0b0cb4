package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;

/**
 * Keeps the holder's lease in the store, whose lapse suggests to others to take the term.
 *
 * @since 0.1
 */
public final class HolderLease {

  /** Only the presence of the key counts. */
  private static final byte[] PRESENT = {1};

  private static final int KEEP_ALIVES_PER_LEASE = 3;

  private final HolderContext context;
  private String leaseId = "";
  private boolean keyWritten;
  private boolean inFlight;
  private long dueAtMs = Long.MIN_VALUE;

  /**
   * Creates the state of a holder without a lease.
   *
   * @param context the holder; not null
   */
  public HolderLease(HolderContext context) {
    this.context = context;
  }

  /**
   * Takes the next step that is due.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    if (inFlight || nowMs < dueAtMs) {
      return;
    }
    inFlight = true;
    dueAtMs = nowMs + context.timings().termLeaseMs() / KEEP_ALIVES_PER_LEASE;
    if (leaseId.isEmpty()) {
      context.outbox().grantLease(nowMs, this::onLease);
    } else if (!keyWritten) {
      context.outbox().read(StoreKeys.holder(context.cell()), nowMs, this::onHolderRead);
    } else {
      context.outbox().keepAlive(leaseId, nowMs, this::onKeptAlive);
    }
  }

  private void onLease(StoreReply reply, long nowMs) {
    inFlight = false;
    if (reply.outcome() == StoreOutcome.DONE) {
      leaseId = reply.leaseId();
      keyWritten = false;
      dueAtMs = nowMs;
    }
  }

  private void onHolderRead(StoreReply reply, long nowMs) {
    if (reply.outcome() != StoreOutcome.DONE) {
      inFlight = false;
      return;
    }
    context
        .outbox()
        .write(
            StoreKeys.holder(context.cell()),
            PRESENT,
            reply.revision(),
            leaseId,
            nowMs,
            this::onHolderWritten);
  }

  private void onHolderWritten(StoreReply reply, long nowMs) {
    inFlight = false;
    keyWritten = reply.outcome() == StoreOutcome.DONE;
  }

  private void onKeptAlive(StoreReply reply, long nowMs) {
    inFlight = false;
    if (reply.outcome() == StoreOutcome.CONFLICT) {
      leaseId = "";
      dueAtMs = nowMs;
    }
  }
}
