package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.lease.RangeRoute;
import java.util.List;

/**
 * The routes of the key ranges of a service.
 *
 * @param service the service; not null
 * @param ranges the ranges in key order; not null
 * @since 0.2
 */
public record ServiceRanges(ServiceId service, List<RangeRoute> ranges) {

  /** Copies the list. */
  public ServiceRanges {
    ranges = List.copyOf(ranges);
  }
}
