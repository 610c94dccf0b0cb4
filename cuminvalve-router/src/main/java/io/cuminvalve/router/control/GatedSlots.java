package io.cuminvalve.router.control;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.request.IntentClaims;
import io.cuminvalve.router.request.IntentListener;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.request.SlotSource;
import io.cuminvalve.router.request.SlotTicket;
import java.util.Map;

/**
 * Finds the owner of a request's shard and then a slot there, which all routers share.
 *
 * @since 0.1
 */
public final class GatedSlots implements SlotSource, IntentClaims {

  private final OwnerSlots owners;
  private final Map<CellId, CellDesks> desks;

  /**
   * Creates a source of slots.
   *
   * @param owners finds owners, and waits for shards that are shut; not null
   * @param desks the desks of each cell; not null, copied
   */
  public GatedSlots(OwnerSlots owners, Map<CellId, CellDesks> desks) {
    this.owners = owners;
    this.desks = Map.copyOf(desks);
  }

  @Override
  public SlotTicket admit(RequestContext request, SlotListener listener) {
    Ticket ticket = new Ticket(request, listener);
    ticket.start();
    return ticket;
  }

  @Override
  public void claim(RequestContext request, IntentListener listener) {
    CellDesks found = desks.get(CellRoutes.cellOf(request.rule().service()));
    if (found == null) {
      listener.onRefused(Verdict.MAY_HAVE_RUN, RefusalReason.NOT_READY, 0);
    } else {
      found.claim(request, listener);
    }
  }

  @Override
  public void settle(RequestContext request, Verdict verdict) {
    CellDesks found = desks.get(CellRoutes.cellOf(request.rule().service()));
    if (found != null) {
      found.settle(request, verdict);
    }
  }

  /** The two steps of one attempt: an owner, then a slot. */
  private final class Ticket implements SlotTicket, SlotListener {

    private final RequestContext request;
    private final SlotListener listener;
    private SlotTicket current;
    private boolean withdrawn;

    Ticket(RequestContext request, SlotListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void start() {
      SlotTicket owner = owners.admit(request, this);
      synchronized (this) {
        if (current == null) {
          current = owner;
        }
      }
    }

    @Override
    public void onAdmitted(Slot owner) {
      CellDesks.Permit permit = desks.get(owner.cell()).prepare(request, owner, listener);
      synchronized (this) {
        if (withdrawn) {
          return;
        }
        current = permit;
      }
      // Not under the lock: the answer may come at once and lead to a release.
      permit.start();
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMs) {
      listener.onRefused(reason, retryAfterMs);
    }

    @Override
    public void withdraw() {
      SlotTicket waiting;
      synchronized (this) {
        withdrawn = true;
        waiting = current;
      }
      waiting.withdraw();
    }

    @Override
    public void release(SlotUse use) {
      SlotTicket held;
      synchronized (this) {
        held = current;
      }
      held.release(use);
    }
  }
}
