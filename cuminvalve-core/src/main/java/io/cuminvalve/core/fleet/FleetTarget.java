package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * The registration of one run of a target.
 *
 * <p>A restarted target is another run with another id, often at the same address.
 *
 * @param id identifies this run of the target; not null
 * @param service the service that it belongs to; not null
 * @param address IP address and port; not null
 * @param dataCentre the data centre in which it runs; not null
 * @param slots the number of requests that it processes concurrently; at least 1
 * @param phase whether it accepts requests; not null
 * @param coldMs the warm-up time during which it is slow, counted from its registration;
 *     milliseconds
 * @since 0.2
 */
public record FleetTarget(
    TargetId id,
    ServiceId service,
    String address,
    DataCentreId dataCentre,
    int slots,
    TargetPhase phase,
    long coldMs) {

  /**
   * Returns whether requests may be sent to the target.
   *
   * @return false while it is draining
   */
  public boolean isReady() {
    return phase == TargetPhase.READY;
  }

  /**
   * Returns a copy of this registration in phase {@link TargetPhase#DRAINING}.
   *
   * @return never null
   */
  public FleetTarget leaving() {
    return new FleetTarget(id, service, address, dataCentre, slots, TargetPhase.DRAINING, coldMs);
  }

  /**
   * Returns a copy of this registration with another warm-up time.
   *
   * @param leftMs the time for which it is still cold; milliseconds
   * @return never null
   */
  public FleetTarget withColdMs(long leftMs) {
    return new FleetTarget(id, service, address, dataCentre, slots, phase, leftMs);
  }

  /**
   * Returns whether another registration is equivalent for routing.
   *
   * @param other the other registration; may be null
   * @return true if at most the remaining warm-up time differs and it is not longer than the other
   */
  public boolean hasSameRouting(FleetTarget other) {
    return other != null
        && id.equals(other.id)
        && service.equals(other.service)
        && address.equals(other.address)
        && dataCentre.equals(other.dataCentre)
        && slots == other.slots
        && phase == other.phase
        && coldMs <= other.coldMs;
  }
}
