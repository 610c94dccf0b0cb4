package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * One simulated run of a target. It checks fencing tokens and times its leases on a clock that may
 * run slow. The next run at the address starts without tokens and leases.
 */
final class SimulatedTarget {

  /** The distance between sampled keys; moves in tests begin and end at multiples of it. */
  static final int STEP = 4_096;

  static final int SAMPLES = KeyRange.KEY_COUNT / STEP;

  private final TargetId id;
  private final ServiceId service;
  private final String address;
  private final double clockRate;
  private final long listedFromMs;
  private final long[] seenTokens = new long[SAMPLES];
  private final long[] heldUntilMs = new long[SAMPLES];
  private final ServiceId[] lastGrantedFor = new ServiceId[SAMPLES];
  private long listedUntilMs = Long.MAX_VALUE / 2;
  private long lapsedFromMs = Long.MAX_VALUE;
  private long lapsedUntilMs = Long.MAX_VALUE;
  private boolean ended;

  SimulatedTarget(
      TargetId id, ServiceId service, String address, double clockRate, long listedFromMs) {
    this.id = id;
    this.service = service;
    this.address = address;
    this.clockRate = clockRate;
    this.listedFromMs = listedFromMs;
  }

  TargetId id() {
    return id;
  }

  ServiceId service() {
    return service;
  }

  String address() {
    return address;
  }

  long listedUntilMs() {
    return listedUntilMs;
  }

  /** Returns whether the registry lists this run at any time in an interval. */
  boolean isListed(long fromMs, long untilMs) {
    boolean lapsed = lapsedFromMs <= fromMs && untilMs < lapsedUntilMs;
    return listedFromMs <= untilMs && fromMs < listedUntilMs && !lapsed;
  }

  /** Removes the registry entry for a time, although the run continues. */
  void loseEntry(long fromMs, long untilMs) {
    lapsedFromMs = fromMs;
    lapsedUntilMs = untilMs;
  }

  /**
   * Carries out an order; a granted lease starts when the order arrived.
   *
   * @param named whether the order names its target, which is then checked
   */
  OrderOutcome carryOut(LeaseOrder order, boolean named, long arrivedMs) {
    if (named && !isAddressee(order.target())) {
      return OrderOutcome.OTHER_TARGET;
    }
    if (order instanceof LeaseOrder.Grant grant) {
      return grant(grant, arrivedMs);
    }
    return release((LeaseOrder.Release) order);
  }

  /** Returns whether an order is addressed to this run: only the name counts, not the start. */
  boolean isAddressee(TargetId target) {
    return target.name().equals(id.name());
  }

  private OrderOutcome grant(LeaseOrder.Grant order, long arrivedMs) {
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP) && seenTokens[i] > order.token()) {
        return OrderOutcome.STALE;
      }
    }
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP)) {
        seenTokens[i] = order.token();
        heldUntilMs[i] = arrivedMs + (long) (order.leaseMs() * clockRate);
        lastGrantedFor[i] = order.service();
      }
    }
    return OrderOutcome.DONE;
  }

  private OrderOutcome release(LeaseOrder.Release order) {
    for (int i = 0; i < SAMPLES; i++) {
      if (order.range().contains(i * STEP)) {
        seenTokens[i] = Math.max(seenTokens[i], order.token());
        heldUntilMs[i] = 0;
      }
    }
    return OrderOutcome.DONE;
  }

  boolean holds(int sample, long nowMs) {
    return !ended && heldUntilMs[sample] > nowMs;
  }

  /** Returns the service for which the key was last granted; null if it never was. */
  ServiceId lastGrantedFor(int sample) {
    return lastGrantedFor[sample];
  }

  boolean isEnded() {
    return ended;
  }

  /** Terminates the run; the registry lists it until the given time. */
  void end(long listedUntil) {
    ended = true;
    listedUntilMs = listedUntil;
  }

  @Override
  public String toString() {
    return id + " (" + service + " at " + address + ")";
  }
}
