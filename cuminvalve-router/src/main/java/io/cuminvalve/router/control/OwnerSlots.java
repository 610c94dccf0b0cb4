package io.cuminvalve.router.control;

import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.request.RetryDefaults;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.request.SlotSource;
import io.cuminvalve.router.request.SlotTicket;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.router.target.TargetDirectory;
import io.cuminvalve.router.target.TargetRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Finds the owner of each request's shard; requests of a shard that is shut wait, for a bounded
 * time, until it opens.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OwnerSlots implements SlotSource {

  private final CellRoutes routes;
  private final TargetDirectory directory;
  private final Timers timers;
  private final Executor executor;
  private final MillisClock clock;
  private final OwnerSlotsLimits limits;
  private final Set<Waiter> waiters = new LinkedHashSet<>();

  /**
   * Creates a source of slots.
   *
   * @param routes finds owners; not null
   * @param directory finds targets; not null
   * @param timers ends waits; not null
   * @param executor lets requests go on that waited; not null
   * @param clock this router's clock; not null
   * @param limits bounds on waiting; not null
   */
  public OwnerSlots(
      CellRoutes routes,
      TargetDirectory directory,
      Timers timers,
      Executor executor,
      MillisClock clock,
      OwnerSlotsLimits limits) {
    this.routes = routes;
    this.directory = directory;
    this.timers = timers;
    this.executor = executor;
    this.clock = clock;
    this.limits = limits;
  }

  @Override
  public SlotTicket admit(RequestContext request, SlotListener listener) {
    Waiter waiter = new Waiter(request, listener);
    if (!tryAdmit(waiter)) {
      await(waiter);
    }
    return waiter;
  }

  /** Looks again at every request that waits, after a view changed. */
  public void onViewChanged() {
    List<Waiter> all;
    synchronized (waiters) {
      all = List.copyOf(waiters);
    }
    if (!all.isEmpty()) {
      executor.execute(() -> all.forEach(this::tryAdmit));
    }
  }

  private boolean tryAdmit(Waiter waiter) {
    CellId cell = CellRoutes.cellOf(waiter.request.rule().service());
    RoutingView view = routes.view(cell);
    if (!view.hasTable()) {
      return false;
    }
    ShardTable table = view.table();
    int shard = KeyHasher.shardOf(waiter.request.key(), table.shardCount());
    int owner = table.owner(shard);
    if (owner == ShardTable.NO_TARGET || view.dispatchableUntilMs(shard) <= clock.nowMs()) {
      return false;
    }
    TargetRecord target = directory.find(table.targets().get(owner));
    if (target == null) {
      return false;
    }
    waiter.admit(new Slot(cell, target, shard));
    return true;
  }

  private void await(Waiter waiter) {
    if (!enqueue(waiter)) {
      waiter.refuse(RefusalReason.QUEUE_FULL);
      return;
    }
    waiter.timeout = timers.schedule(() -> onWaitedTooLong(waiter), limits.maxWaitMs());
    // The shard may have opened between the first look and the entry into the queue.
    tryAdmit(waiter);
  }

  private boolean enqueue(Waiter waiter) {
    synchronized (waiters) {
      return waiters.size() < limits.maxWaiting() && waiters.add(waiter);
    }
  }

  private void onWaitedTooLong(Waiter waiter) {
    CellId cell = CellRoutes.cellOf(waiter.request.rule().service());
    boolean ready = routes.view(cell).hasTable();
    waiter.refuse(ready ? RefusalReason.SHARD_UNAVAILABLE : RefusalReason.NOT_READY);
  }

  private void remove(Waiter waiter) {
    waiter.timeout.cancel();
    synchronized (waiters) {
      waiters.remove(waiter);
    }
  }

  /** One attempt that asked for a slot; decided once. */
  private final class Waiter implements SlotTicket {

    private final RequestContext request;
    private final SlotListener listener;
    private final AtomicBoolean decided = new AtomicBoolean();
    private volatile Timers.Cancellable timeout = () -> {};

    Waiter(RequestContext request, SlotListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void admit(Slot slot) {
      if (decide()) {
        listener.onAdmitted(slot);
      }
    }

    void refuse(RefusalReason reason) {
      if (decide()) {
        listener.onRefused(reason, RetryDefaults.DEFAULT_RETRY_AFTER_MS);
      }
    }

    @Override
    public void withdraw() {
      decide();
    }

    @Override
    public void release(SlotUse use) {}

    private boolean decide() {
      boolean first = decided.compareAndSet(false, true);
      if (first) {
        remove(this);
      }
      return first;
    }
  }
}
