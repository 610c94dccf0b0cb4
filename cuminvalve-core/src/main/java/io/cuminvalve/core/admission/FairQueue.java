package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queue of waiting requests of one class, served by deficit round robin over tenants.
 *
 * <p>Deficits are counted in milliseconds of slot time. A request is charged the mean service time
 * when it leaves the queue, and the difference to its actual service time when its slot is
 * released.
 *
 * @since 0.1
 */
final class FairQueue {

  /** Bound of a tenant's deficit, positive or negative, in multiples of the mean service time. */
  private static final double MAX_DEFICIT_REQUESTS = 8;

  private final ArrayDeque<TenantQueue> ring = new ArrayDeque<>();
  private final Map<TenantId, TenantQueue> byTenant = new HashMap<>();
  private int size;

  /** The requests of one tenant in order of arrival. */
  private static final class TenantQueue {

    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private double deficitMs;
    private boolean hasTurn;
  }

  int size() {
    return size;
  }

  int activeTenants() {
    return byTenant.size();
  }

  int sizeOf(TenantId tenant) {
    TenantQueue queue = byTenant.get(tenant);
    return queue == null ? 0 : queue.waiters.size();
  }

  void add(Waiter waiter) {
    TenantQueue queue = byTenant.get(waiter.tenant());
    if (queue == null) {
      queue = new TenantQueue();
      byTenant.put(waiter.tenant(), queue);
      ring.addLast(queue);
    }
    queue.waiters.addLast(waiter);
    size++;
  }

  /**
   * Removes and returns the next request that may be served.
   *
   * @param costMs the mean service time; milliseconds; above 0
   * @param excluded the router whose requests are skipped; null if none
   * @return null if there is no such request
   */
  Waiter poll(double costMs, RouterId excluded) {
    if (!hasEligible(excluded)) {
      return null;
    }
    while (true) {
      TenantQueue queue = ring.peekFirst();
      Waiter next = firstEligible(queue, excluded);
      if (!queue.hasTurn) {
        queue.hasTurn = true;
        queue.deficitMs += next == null ? 0 : costMs;
      }
      if (next != null && queue.deficitMs >= costMs) {
        queue.deficitMs -= costMs;
        take(queue, next);
        return next;
      }
      queue.hasTurn = false;
      ring.addLast(ring.pollFirst());
    }
  }

  /** Charges a tenant with queued requests the difference of actual and mean service time. */
  void charge(TenantId tenant, double differenceMs, double costMs) {
    TenantQueue queue = byTenant.get(tenant);
    if (queue != null) {
      double limitMs = MAX_DEFICIT_REQUESTS * costMs;
      queue.deficitMs = Math.max(-limitMs, Math.min(limitMs, queue.deficitMs - differenceMs));
    }
  }

  /** Removes the newest request of the longest tenant queue if it exceeds a given length. */
  Waiter pollFromLongest(int moreThan) {
    TenantQueue longest = null;
    for (TenantQueue queue : byTenant.values()) {
      if (longest == null || queue.waiters.size() > longest.waiters.size()) {
        longest = queue;
      }
    }
    if (longest == null || longest.waiters.size() <= moreThan) {
      return null;
    }
    Waiter newest = longest.waiters.pollLast();
    size--;
    removeIfEmpty(longest, newest.tenant());
    return newest;
  }

  Waiter find(RouterId router, long incarnation, long permit) {
    for (TenantQueue queue : ring) {
      for (Waiter waiter : queue.waiters) {
        if (waiter.isPermit(router, incarnation, permit)) {
          return waiter;
        }
      }
    }
    return null;
  }

  /** Removes all matching requests and passes each one to a consumer. */
  void removeIf(Predicate<Waiter> unwanted, Consumer<Waiter> removed) {
    for (TenantQueue queue : ring.toArray(new TenantQueue[0])) {
      TenantId tenant = null;
      for (Iterator<Waiter> iterator = queue.waiters.iterator(); iterator.hasNext(); ) {
        Waiter waiter = iterator.next();
        if (unwanted.test(waiter)) {
          iterator.remove();
          size--;
          tenant = waiter.tenant();
          removed.accept(waiter);
        }
      }
      if (tenant != null) {
        removeIfEmpty(queue, tenant);
      }
    }
  }

  private boolean hasEligible(RouterId excluded) {
    if (excluded == null) {
      return size > 0;
    }
    for (TenantQueue queue : ring) {
      if (firstEligible(queue, excluded) != null) {
        return true;
      }
    }
    return false;
  }

  private static Waiter firstEligible(TenantQueue queue, RouterId excluded) {
    for (Waiter waiter : queue.waiters) {
      if (!waiter.router().equals(excluded)) {
        return waiter;
      }
    }
    return null;
  }

  private void take(TenantQueue queue, Waiter waiter) {
    queue.waiters.remove(waiter);
    size--;
    removeIfEmpty(queue, waiter.tenant());
  }

  private void removeIfEmpty(TenantQueue queue, TenantId tenant) {
    if (queue.waiters.isEmpty()) {
      byTenant.remove(tenant);
      ring.remove(queue);
    }
  }
}
