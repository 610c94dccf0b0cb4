package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * One run of a target, as it registered itself.
 *
 * <p>A restarted target is another one, with another id, often at the same address.
 *
 * @param id names this run of the target; not null
 * @param service the service that it belongs to; not null
 * @param address IP address and port; not null
 * @param dataCentre where it runs; not null
 * @param slots how many requests it works on at the same time; at least 1
 * @param phase whether it takes requests; not null
 * @param coldMs for how long it stays slow after its start, counted from its registration;
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
   * Tells whether requests may go there.
   *
   * @return false once it drains
   */
  public boolean isReady() {
    return phase == TargetPhase.READY;
  }

  /**
   * Returns the same target once it leaves.
   *
   * @return never null
   */
  public FleetTarget leaving() {
    return new FleetTarget(id, service, address, dataCentre, slots, TargetPhase.DRAINING, coldMs);
  }

  /**
   * Tells whether another registration says the same to everybody who routes requests.
   *
   * @param other the other registration; may be null
   * @return true if only the remaining cold time differs, or nothing
   */
  public boolean hasSameRouting(FleetTarget other) {
    return other != null
        && id.equals(other.id)
        && service.equals(other.service)
        && address.equals(other.address)
        && dataCentre.equals(other.dataCentre)
        && slots == other.slots
        && phase == other.phase;
  }
}
